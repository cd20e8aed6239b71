package org.toucanrack.internal.coordination.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.state.Member;

/**
 * Computes the next domain row from the current one. Stateless and thread-safe.
 *
 * <p>Invariant: a resource changes its owner only after the owner confirmed the release of the same
 * epoch, or after the owner was judged lost; the latter sets a quarantine.
 */
public final class DomainRowUpdater {

  private DomainRowUpdater() {}

  /** Returns the next row. */
  public static DomainRow update(DomainRow row, RowInputs inputs) {
    Map<Incarnation, RowMember> members = members(row, inputs);
    SortedMap<ResourceId, Holding> holdings = new TreeMap<>(row.holdings());
    freeLost(holdings, members.keySet(), inputs.catalog());
    freeReleased(holdings, inputs.released());
    Optional<ResourceCatalog> catalog =
        inputs
            .catalog()
            .filter(known -> known.configurationVersion() >= row.configurationVersion());
    catalog.ifPresent(known -> declare(holdings, known));
    long lastEpoch = row.lastEpoch();
    if (inputs.mayAssign()) {
      lastEpoch = assign(holdings, members, inputs, lastEpoch);
    }
    DomainRow next =
        new DomainRow(
            row.failureDomain(),
            row.generation(),
            lastEpoch,
            catalog.map(ResourceCatalog::configurationVersion).orElse(row.configurationVersion()),
            inputs.operation(),
            members,
            holdings);
    return next.sameButForCounters(row) ? next : nextGeneration(next);
  }

  private static DomainRow nextGeneration(DomainRow row) {
    return new DomainRow(
        row.failureDomain(),
        row.generation() + 1,
        row.lastEpoch(),
        row.configurationVersion(),
        row.operation(),
        row.members(),
        row.holdings());
  }

  private static Map<Incarnation, RowMember> members(DomainRow row, RowInputs inputs) {
    Map<Incarnation, RowMember> members = new HashMap<>(row.members());
    inputs.heard().forEach((id, heard) -> members.merge(id, heard, RowMember::renewed));
    members.keySet().removeAll(inputs.lost());
    members.replaceAll((id, member) -> withDrain(member, inputs));
    return members;
  }

  private static RowMember withDrain(RowMember row, RowInputs inputs) {
    Member member = row.member();
    if (member.draining() || !inputs.draining().contains(member.incarnation().vm())) {
      return row;
    }
    return new RowMember(
        new Member(
            member.incarnation(),
            member.failureDomain(),
            member.callersAddress(),
            member.peersAddress(),
            true),
        row.renewalCounter(),
        row.configurationVersion());
  }

  private static void freeLost(
      SortedMap<ResourceId, Holding> holdings,
      Set<Incarnation> members,
      Optional<ResourceCatalog> catalog) {
    holdings.replaceAll(
        (id, holding) ->
            holding.owner().filter(owner -> !members.contains(owner)).isEmpty()
                ? holding
                : Holding.unowned(holding.epoch(), quarantine(id, holding, catalog)));
  }

  /** The longest of the known values; without any, a minute covers usual request deadlines. */
  private static long quarantine(
      ResourceId id, Holding holding, Optional<ResourceCatalog> catalog) {
    long declared =
        catalog.map(known -> known.quarantineMillis().getOrDefault(id, 60_000L)).orElse(60_000L);
    return Math.max(declared, holding.quarantineMillis());
  }

  private static void freeReleased(
      SortedMap<ResourceId, Holding> holdings, Map<ResourceId, Long> released) {
    released.forEach(
        (id, epoch) ->
            holdings.computeIfPresent(
                id,
                (key, holding) ->
                    holding.releasing() && holding.epoch() == epoch
                        ? Holding.unowned(epoch, 0)
                        : holding));
  }

  private static void declare(SortedMap<ResourceId, Holding> holdings, ResourceCatalog catalog) {
    Set<ResourceId> declared = catalog.quarantineMillis().keySet();
    holdings
        .entrySet()
        .removeIf(
            entry ->
                !declared.contains(entry.getKey())
                    && entry.getValue().owner().isEmpty()
                    && entry.getValue().quarantineMillis() == 0);
    holdings.replaceAll(
        (id, holding) ->
            !declared.contains(id) && holding.owner().isPresent() ? holding.release() : holding);
    declared.forEach(id -> holdings.putIfAbsent(id, Holding.unowned(0, 0)));
  }

  private static long assign(
      SortedMap<ResourceId, Holding> holdings,
      Map<Incarnation, RowMember> members,
      RowInputs inputs,
      long lastEpoch) {
    Set<Incarnation> draining =
        members.values().stream()
            .filter(member -> member.member().draining())
            .map(member -> member.member().incarnation())
            .collect(Collectors.toSet());
    Set<Incarnation> assignable = new HashSet<>(members.keySet());
    assignable.retainAll(inputs.heard().keySet());
    assignable.removeAll(draining);
    boolean allHeard = inputs.heard().keySet().containsAll(members.keySet());
    long epoch = lastEpoch;
    for (boolean servers : new boolean[] {true, false}) {
      ResourceAssigner assigner = new ResourceAssigner(holdings, servers, assignable);
      epoch = assigner.assignUnowned(epoch);
      if (!assignable.isEmpty()) {
        assigner.releaseFrom(draining);
      }
      if (allHeard) {
        assigner.balance();
      }
    }
    return epoch;
  }
}
