package org.toucanrack.internal.coordination.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.toucanrack.id.Incarnation;

/**
 * Assigns resources of one kind (backend servers or rate shares) to members: balanced, by
 * rendezvous hashing, with as few moves as the balance requires. Not thread-safe; made for one
 * update of one row.
 */
final class ResourceAssigner {

  /**
   * Divisor of the backend servers of a failure domain that gives how many may be handed over at
   * the same time. A server is not used during its handover, so the others must carry the load.
   */
  private static final int HANDOVER_DIVISOR = 4;

  private final SortedMap<ResourceId, ResourceAssignment> assignments;
  private final boolean backendServers;
  private final List<Incarnation> members;
  private final Map<Incarnation, Integer> resourceCounts = new HashMap<>();

  ResourceAssigner(
      SortedMap<ResourceId, ResourceAssignment> assignments,
      boolean backendServers,
      Collection<Incarnation> members) {
    this.assignments = assignments;
    this.backendServers = backendServers;
    this.members = members.stream().sorted(Comparator.comparing(Incarnation::toString)).toList();
    members.forEach(member -> resourceCounts.put(member, 0));
    entriesOfKind()
        .filter(entry -> !entry.getValue().releasing())
        .forEach(entry -> entry.getValue().owner().ifPresent(this::incrementCount));
  }

  private java.util.stream.Stream<Map.Entry<ResourceId, ResourceAssignment>> entriesOfKind() {
    return assignments.entrySet().stream()
        .filter(entry -> entry.getKey().isBackendServer() == backendServers);
  }

  private void incrementCount(Incarnation member) {
    resourceCounts.computeIfPresent(member, (key, count) -> count + 1);
  }

  /** Assigns all resources without an owner; returns the last assigned epoch. */
  long assignUnowned(long lastEpoch) {
    long epoch = lastEpoch;
    List<ResourceId> unowned =
        entriesOfKind()
            .filter(entry -> entry.getValue().owner().isEmpty())
            .map(Map.Entry::getKey)
            .toList();
    for (ResourceId resource : unowned) {
      Optional<Incarnation> owner = chooseOwner(resource);
      if (owner.isPresent()) {
        epoch++;
        assignments.put(resource, assignments.get(resource).assignedTo(owner.get(), epoch));
        incrementCount(owner.get());
      }
    }
    return epoch;
  }

  private Optional<Incarnation> chooseOwner(ResourceId resource) {
    int lowestCount = members.stream().mapToInt(resourceCounts::get).min().orElse(0);
    return members.stream()
        .filter(member -> resourceCounts.get(member) == lowestCount)
        .max(Comparator.comparingLong(member -> RendezvousHash.score(resource, member.vm())));
  }

  /** Requests draining members to release resources, within the handover limit. */
  void requestReleaseFrom(Collection<Incarnation> drainingMembers) {
    entriesOfKind()
        .filter(entry -> entry.getValue().owner().filter(drainingMembers::contains).isPresent())
        .filter(entry -> !entry.getValue().releasing())
        .limit(remainingHandovers())
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::requestRelease);
  }

  /**
   * Requests members with too many resources to release some, within the handover limit, until
   * resource counts differ by at most 1.
   */
  void balance() {
    int pending = (int) entriesOfKind().filter(entry -> entry.getValue().releasing()).count();
    for (int i = 0; i < pending && !members.isEmpty(); i++) {
      incrementCount(leastLoaded());
    }
    for (int remaining = remainingHandovers(); remaining > 0 && members.size() > 1; remaining--) {
      Incarnation from =
          members.stream().max(Comparator.comparingInt(resourceCounts::get)).orElseThrow();
      Incarnation to = leastLoaded();
      if (resourceCounts.get(from) - resourceCounts.get(to) < 2) {
        return;
      }
      requestRelease(chooseResourceToMove(from, to));
      resourceCounts.merge(from, -1, Integer::sum);
      resourceCounts.merge(to, 1, Integer::sum);
    }
  }

  private Incarnation leastLoaded() {
    return members.stream().min(Comparator.comparingInt(resourceCounts::get)).orElseThrow();
  }

  private ResourceId chooseResourceToMove(Incarnation from, Incarnation to) {
    return entriesOfKind()
        .filter(entry -> entry.getValue().isOwnedBy(from) && !entry.getValue().releasing())
        .map(Map.Entry::getKey)
        .max(Comparator.comparingLong(id -> RendezvousHash.score(id, to.vm())))
        .orElseThrow();
  }

  private void requestRelease(ResourceId resource) {
    assignments.put(resource, assignments.get(resource).toReleasing());
  }

  private int remainingHandovers() {
    int total = (int) entriesOfKind().count();
    if (!backendServers) {
      return total;
    }
    int pending = (int) entriesOfKind().filter(entry -> entry.getValue().releasing()).count();
    return Math.max(0, Math.max(1, total / HANDOVER_DIVISOR) - pending);
  }
}
