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
 * rendezvous hashing, with as few moves as the balance needs. Used by one thread for one row.
 */
final class ResourceAssigner {

  /**
   * Backend servers of a failure domain that may be between owners at the same time, as a divisor.
   * A server is not used during its handover, so the rest has to carry the load.
   */
  private static final int HANDOVER_DIVISOR = 4;

  private final SortedMap<ResourceId, Holding> holdings;
  private final boolean servers;
  private final List<Incarnation> members;
  private final Map<Incarnation, Integer> loads = new HashMap<>();

  ResourceAssigner(
      SortedMap<ResourceId, Holding> holdings, boolean servers, Collection<Incarnation> members) {
    this.holdings = holdings;
    this.servers = servers;
    this.members = members.stream().sorted(Comparator.comparing(Incarnation::toString)).toList();
    members.forEach(member -> loads.put(member, 0));
    mine()
        .filter(entry -> !entry.getValue().releasing())
        .forEach(entry -> entry.getValue().owner().ifPresent(this::addLoad));
  }

  private java.util.stream.Stream<Map.Entry<ResourceId, Holding>> mine() {
    return holdings.entrySet().stream()
        .filter(entry -> entry.getKey().isBackendServer() == servers);
  }

  private void addLoad(Incarnation member) {
    loads.computeIfPresent(member, (key, load) -> load + 1);
  }

  /** Assigns all resources without owner; returns the last epoch that was given. */
  long assignUnowned(long lastEpoch) {
    long epoch = lastEpoch;
    List<ResourceId> unowned =
        mine().filter(entry -> entry.getValue().owner().isEmpty()).map(Map.Entry::getKey).toList();
    for (ResourceId resource : unowned) {
      Optional<Incarnation> owner = bestOf(resource);
      if (owner.isPresent()) {
        epoch++;
        holdings.put(resource, holdings.get(resource).assignedTo(owner.get(), epoch));
        addLoad(owner.get());
      }
    }
    return epoch;
  }

  private Optional<Incarnation> bestOf(ResourceId resource) {
    int lowest = members.stream().mapToInt(loads::get).min().orElse(0);
    return members.stream()
        .filter(member -> loads.get(member) == lowest)
        .max(Comparator.comparingLong(member -> RendezvousHash.score(resource, member.vm())));
  }

  /** Asks owners outside the members to release; used for members that drain. */
  void releaseFrom(Collection<Incarnation> leaving) {
    mine()
        .filter(entry -> entry.getValue().owner().filter(leaving::contains).isPresent())
        .filter(entry -> !entry.getValue().releasing())
        .limit(handoversLeft())
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::release);
  }

  /** Asks members with too many resources to release some, until loads differ by 1 at most. */
  void balance() {
    int pending = (int) mine().filter(entry -> entry.getValue().releasing()).count();
    for (int i = 0; i < pending && !members.isEmpty(); i++) {
      addLoad(leastLoaded());
    }
    for (int left = handoversLeft(); left > 0 && members.size() > 1; left--) {
      Incarnation from = members.stream().max(Comparator.comparingInt(loads::get)).orElseThrow();
      Incarnation to = leastLoaded();
      if (loads.get(from) - loads.get(to) < 2) {
        return;
      }
      release(bestToMove(from, to));
      loads.merge(from, -1, Integer::sum);
      loads.merge(to, 1, Integer::sum);
    }
  }

  private Incarnation leastLoaded() {
    return members.stream().min(Comparator.comparingInt(loads::get)).orElseThrow();
  }

  private ResourceId bestToMove(Incarnation from, Incarnation to) {
    return mine()
        .filter(entry -> entry.getValue().isOwnedBy(from) && !entry.getValue().releasing())
        .map(Map.Entry::getKey)
        .max(Comparator.comparingLong(id -> RendezvousHash.score(id, to.vm())))
        .orElseThrow();
  }

  private void release(ResourceId resource) {
    holdings.put(resource, holdings.get(resource).release());
  }

  private int handoversLeft() {
    int all = (int) mine().count();
    if (!servers) {
      return all;
    }
    int pending = (int) mine().filter(entry -> entry.getValue().releasing()).count();
    return Math.max(0, Math.max(1, all / HANDOVER_DIVISOR) - pending);
  }
}
