package org.toucanrack.bench.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowUpdater;
import org.toucanrack.internal.coordination.lease.ResourceCatalog;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowInputs;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.state.Member;

/**
 * Counts the generations of a domain row that {@link DomainRowUpdater} creates for one planned
 * restart of a VM. Each generation makes every VM of the deployment fetch the row. Releases are
 * confirmed between two writes, so the result is the minimum number of generations.
 */
final class RestartBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final int BACKEND_SERVERS = 1_000;
  private static final int MAX_UPDATES = 1_000;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int members : new int[] {16, 32, 64}) {
      Fleet fleet =
          new Fleet(
              FAILURE_DOMAINS, members, 1, scale.sizeFor(BACKEND_SERVERS), scale.sizeFor(1_000), 1);
      FigureRecorder.Point point = figures.pointAt("restart of a member", "members", members);
      RelayRow relayRow = new RelayRow(fleet);
      point.addExact("row generations", "count", relayRow.generationsOfRestart());
      point.addExact(
          "row generations of a configuration change",
          "count",
          relayRow.generationsOfConfigurationChange());
      DomainRow stableRow = relayRow.row;
      point.measureCpu(
          "row update without change", () -> DomainRowUpdater.update(stableRow, relayRow.inputs()));
    }
  }

  /** The row of one failure domain with the inputs from which its relay updates it. */
  private static final class RelayRow {

    private ResourceCatalog catalog;
    private final Map<Incarnation, RowMember> liveMembers = new HashMap<>();
    private DomainRow row;
    private Set<Incarnation> lostMembers = Set.of();
    private Set<VmId> drainingVms = Set.of();

    RelayRow(Fleet fleet) {
      catalog = ResourceCatalog.of(fleet.configuration(), Fleet.domain(0));
      row = DomainRow.empty(Fleet.domain(0));
      for (int m = 0; m < fleet.membersPerDomain(); m++) {
        Member member = fleet.member(0, m);
        liveMembers.put(member.incarnation(), new RowMember(member, 1, 1));
      }
      updateUntilStable();
    }

    long generationsOfRestart() {
      final long generationBefore = row.generation();
      RowMember leaving = liveMembers.values().iterator().next();
      Incarnation oldIncarnation = leaving.member().incarnation();
      drainingVms = Set.of(oldIncarnation.vm());
      updateUntilStable();
      liveMembers.remove(oldIncarnation);
      lostMembers = Set.of(oldIncarnation);
      drainingVms = Set.of();
      updateUntilStable();
      lostMembers = Set.of();
      Member member = leaving.member();
      Member restarted =
          new Member(
              new Incarnation(oldIncarnation.vm(), oldIncarnation.number() ^ 1),
              member.failureDomain(),
              member.callersAddress(),
              member.peersAddress(),
              false);
      liveMembers.put(restarted.incarnation(), new RowMember(restarted, 1, 1));
      updateUntilStable();
      return row.generation() - generationBefore;
    }

    /** Adopts a configuration version with the same resources, for example after a key grant. */
    long generationsOfConfigurationChange() {
      final long generationBefore = row.generation();
      catalog = new ResourceCatalog(catalog.configurationVersion() + 1, catalog.quarantineMillis());
      updateUntilStable();
      return row.generation() - generationBefore;
    }

    private void updateUntilStable() {
      for (int i = 0; i < MAX_UPDATES; i++) {
        DomainRow next = DomainRowUpdater.update(row, inputs());
        boolean unchanged = next.generation() == row.generation();
        row = next;
        if (unchanged) {
          return;
        }
      }
      throw new IllegalStateException("domain row still changes after " + MAX_UPDATES + " updates");
    }

    private RowInputs inputs() {
      Map<ResourceId, Long> released =
          row.assignments().entrySet().stream()
              .filter(entry -> entry.getValue().releasing())
              .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().epoch()));
      return new RowInputs(
          liveMembers, lostMembers, released, Optional.of(catalog), drainingVms, true, "row-1");
    }
  }
}
