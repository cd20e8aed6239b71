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
 * Generations of a domain row for one planned restart of a VM, by the rules of {@link
 * DomainRowUpdater}: each generation makes every VM of the deployment fetch the row. Releases are
 * confirmed between two writes, which gives the fewest generations.
 */
final class RestartSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final int SERVERS = 1_000;
  private static final int MAX_WRITES = 1_000;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int members : new int[] {16, 32, 64}) {
      Fleet fleet = new Fleet(DOMAINS, members, 1, scale.of(SERVERS), scale.of(1_000), 1);
      Figures.At at = figures.at("restart of a member", "members", members);
      Restart restart = new Restart(fleet);
      at.exact("row generations", "count", restart.generations());
      at.exact("row generations of a configuration change", "count", restart.configurationChange());
      DomainRow settled = restart.row;
      at.cpu("row update without change", () -> DomainRowUpdater.update(settled, restart.inputs()));
    }
  }

  /** The row of one failure domain as its relay updates it. */
  private static final class Restart {

    private ResourceCatalog catalog;
    private final Map<Incarnation, RowMember> heard = new HashMap<>();
    private DomainRow row;
    private Set<Incarnation> lost = Set.of();
    private Set<VmId> draining = Set.of();

    Restart(Fleet fleet) {
      catalog = ResourceCatalog.of(fleet.configuration(), Fleet.domain(0));
      row = DomainRow.empty(Fleet.domain(0));
      for (int m = 0; m < fleet.membersPerDomain(); m++) {
        Member member = fleet.member(0, m);
        heard.put(member.incarnation(), new RowMember(member, 1, 1));
      }
      settle();
    }

    long generations() {
      final long before = row.generation();
      RowMember leaving = heard.values().iterator().next();
      Incarnation old = leaving.member().incarnation();
      draining = Set.of(old.vm());
      settle();
      heard.remove(old);
      lost = Set.of(old);
      draining = Set.of();
      settle();
      lost = Set.of();
      Member member = leaving.member();
      Member restarted =
          new Member(
              new Incarnation(old.vm(), old.number() ^ 1),
              member.failureDomain(),
              member.callersAddress(),
              member.peersAddress(),
              false);
      heard.put(restarted.incarnation(), new RowMember(restarted, 1, 1));
      settle();
      return row.generation() - before;
    }

    /** Adopts a version, such as a key grant, that declares the same resources. */
    long configurationChange() {
      final long before = row.generation();
      catalog = new ResourceCatalog(catalog.configurationVersion() + 1, catalog.quarantineMillis());
      settle();
      return row.generation() - before;
    }

    private void settle() {
      for (int i = 0; i < MAX_WRITES; i++) {
        DomainRow next = DomainRowUpdater.update(row, inputs());
        boolean same = next.generation() == row.generation();
        row = next;
        if (same) {
          return;
        }
      }
      throw new IllegalStateException("the row changes without end");
    }

    private RowInputs inputs() {
      Map<ResourceId, Long> released =
          row.assignments().entrySet().stream()
              .filter(entry -> entry.getValue().releasing())
              .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().epoch()));
      return new RowInputs(heard, lost, released, Optional.of(catalog), draining, true, "row-1");
    }
  }
}
