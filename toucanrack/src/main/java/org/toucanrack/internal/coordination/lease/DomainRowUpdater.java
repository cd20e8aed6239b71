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
 * epoch, or after the owner was found to be lost; the latter sets a quarantine.
 */
public final class DomainRowUpdater {

  private DomainRowUpdater() {}

  /** Returns the next row; its generation rises only if members or assignments change. */
  public static DomainRow update(DomainRow row, RowInputs inputs) {
    Map<Incarnation, RowMember> members = updateMembers(row, inputs);
    SortedMap<ResourceId, ResourceAssignment> assignments = new TreeMap<>(row.assignments());
    unassignLost(assignments, members.keySet(), inputs.catalog());
    unassignReleased(assignments, inputs.releasedEpochs());
    Optional<ResourceCatalog> catalog =
        inputs
            .catalog()
            .filter(declared -> declared.configurationVersion() >= row.configurationVersion());
    catalog.ifPresent(declared -> applyCatalog(assignments, declared));
    long lastEpoch = row.lastEpoch();
    if (inputs.mayAssign()) {
      lastEpoch = assign(assignments, members, inputs, lastEpoch);
    }
    DomainRow next =
        new DomainRow(
            row.failureDomain(),
            row.generation(),
            lastEpoch,
            catalog.map(ResourceCatalog::configurationVersion).orElse(row.configurationVersion()),
            inputs.operation(),
            members,
            assignments);
    return next.equalsIgnoringCounters(row) ? next : nextGeneration(next);
  }

  private static DomainRow nextGeneration(DomainRow row) {
    return new DomainRow(
        row.failureDomain(),
        row.generation() + 1,
        row.lastEpoch(),
        row.configurationVersion(),
        row.operation(),
        row.members(),
        row.assignments());
  }

  private static Map<Incarnation, RowMember> updateMembers(DomainRow row, RowInputs inputs) {
    Map<Incarnation, RowMember> members = new HashMap<>(row.members());
    inputs.liveMembers().forEach((id, live) -> members.merge(id, live, RowMember::mergedWith));
    members.keySet().removeAll(inputs.lostMembers());
    members.replaceAll((id, member) -> withDrainFlag(member, inputs));
    return members;
  }

  private static RowMember withDrainFlag(RowMember row, RowInputs inputs) {
    Member member = row.member();
    if (member.draining() || !inputs.drainingVms().contains(member.incarnation().vm())) {
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

  private static void unassignLost(
      SortedMap<ResourceId, ResourceAssignment> assignments,
      Set<Incarnation> members,
      Optional<ResourceCatalog> catalog) {
    assignments.replaceAll(
        (id, assignment) ->
            assignment.owner().filter(owner -> !members.contains(owner)).isEmpty()
                ? assignment
                : ResourceAssignment.unowned(
                    assignment.epoch(), quarantineMillis(id, assignment, catalog)));
  }

  /**
   * Returns the longer of the declared and the pending quarantine. For a resource without a
   * declared one, a minute covers usual request deadlines.
   */
  private static long quarantineMillis(
      ResourceId id, ResourceAssignment assignment, Optional<ResourceCatalog> catalog) {
    long declaredMillis =
        catalog
            .map(declared -> declared.quarantineMillis().getOrDefault(id, 60_000L))
            .orElse(60_000L);
    return Math.max(declaredMillis, assignment.quarantineMillis());
  }

  private static void unassignReleased(
      SortedMap<ResourceId, ResourceAssignment> assignments, Map<ResourceId, Long> releasedEpochs) {
    releasedEpochs.forEach(
        (id, epoch) ->
            assignments.computeIfPresent(
                id,
                (key, assignment) ->
                    assignment.releasing() && assignment.epoch() == epoch
                        ? ResourceAssignment.unowned(epoch, 0)
                        : assignment));
  }

  private static void applyCatalog(
      SortedMap<ResourceId, ResourceAssignment> assignments, ResourceCatalog catalog) {
    Set<ResourceId> declaredResources = catalog.quarantineMillis().keySet();
    assignments
        .entrySet()
        .removeIf(
            entry ->
                !declaredResources.contains(entry.getKey())
                    && entry.getValue().owner().isEmpty()
                    && entry.getValue().quarantineMillis() == 0);
    assignments.replaceAll(
        (id, assignment) ->
            !declaredResources.contains(id) && assignment.owner().isPresent()
                ? assignment.toReleasing()
                : assignment);
    declaredResources.forEach(id -> assignments.putIfAbsent(id, ResourceAssignment.unowned(0, 0)));
  }

  private static long assign(
      SortedMap<ResourceId, ResourceAssignment> assignments,
      Map<Incarnation, RowMember> members,
      RowInputs inputs,
      long lastEpoch) {
    Set<Incarnation> draining =
        members.values().stream()
            .filter(member -> member.member().draining())
            .map(member -> member.member().incarnation())
            .collect(Collectors.toSet());
    Set<Incarnation> eligibleOwners = new HashSet<>(members.keySet());
    eligibleOwners.retainAll(inputs.liveMembers().keySet());
    eligibleOwners.removeAll(draining);
    boolean allMembersLive = inputs.liveMembers().keySet().containsAll(members.keySet());
    long epoch = lastEpoch;
    for (boolean servers : new boolean[] {true, false}) {
      ResourceAssigner assigner = new ResourceAssigner(assignments, servers, eligibleOwners);
      epoch = assigner.assignUnowned(epoch);
      if (!eligibleOwners.isEmpty()) {
        assigner.requestReleaseFrom(draining);
      }
      if (allMembersLive) {
        assigner.balance();
      }
    }
    return epoch;
  }
}
