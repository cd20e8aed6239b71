package org.toucanrack.internal.coordination.dispatch;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.toucanrack.id.BackendServerId;

/**
 * The backend servers of a dispatcher and the choice among them. Guarded by the dispatcher's lock.
 */
final class ServerPool {

  /** Error rates within the same step of this width count as equal. */
  private static final double ERROR_RATE_STEP = 0.1;

  private final Map<BackendServerId, ServerSlots> servers = new LinkedHashMap<>();

  void update(List<OwnedServer> ownedServers) {
    Set<BackendServerId> ids = new HashSet<>();
    for (OwnedServer update : ownedServers) {
      ids.add(update.server().id());
      servers.computeIfAbsent(update.server().id(), id -> new ServerSlots()).update(update);
    }
    servers.forEach(
        (id, slots) -> {
          if (!ids.contains(id)) {
            slots.markUnowned();
          }
        });
    servers.values().removeIf(slots -> !slots.isOwned() && slots.isIdle());
  }

  Optional<ServerSlots> find(BackendServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  boolean canServe(SlotRequest request) {
    return servers.values().stream().anyMatch(slots -> slots.serves(request));
  }

  /**
   * Chooses a server with a free slot: not the excluded one if possible, then by observed error
   * rate, utilization, and only then by the reported load.
   */
  Optional<ServerSlots> choose(SlotRequest request, long nowNanos) {
    Predicate<ServerSlots> eligible =
        slots -> slots.serves(request) && slots.freeSlots(nowNanos) > 0;
    return servers.values().stream().filter(eligible).min(preference(request));
  }

  int freeSlots(long nowNanos) {
    return servers.values().stream().mapToInt(slots -> slots.freeSlots(nowNanos)).sum();
  }

  /** Ejects an outlier unless fewer than half of the servers of its version would remain. */
  void ejectIfOutlier(ServerSlots candidate, long nowNanos) {
    if (!candidate.health().isOutlier() || candidate.health().isEjected(nowNanos)) {
      return;
    }
    List<ServerSlots> sameVersion =
        servers.values().stream().filter(slots -> isServingSameVersion(slots, candidate)).toList();
    long ejected = sameVersion.stream().filter(slots -> slots.health().isEjected(nowNanos)).count();
    if ((ejected + 1) * 2 <= sameVersion.size()) {
      candidate.health().eject(nowNanos);
    }
  }

  private static boolean isServingSameVersion(ServerSlots slots, ServerSlots candidate) {
    return slots.isServing()
        && slots.server().server().version().equals(candidate.server().server().version());
  }

  private static Comparator<ServerSlots> preference(SlotRequest request) {
    return Comparator.comparing((ServerSlots slots) -> isExcluded(slots, request))
        .thenComparing(slots -> (int) (slots.health().errorRate() / ERROR_RATE_STEP))
        .thenComparing(ServerPool::utilizationPreference)
        .thenComparing(slots -> slots.server().reportedLoad());
  }

  /**
   * Prefers the least utilized servers, or the most utilized for a version whose load is packed.
   */
  private static double utilizationPreference(ServerSlots slots) {
    boolean packed = slots.server().role() == VersionRole.CANDIDATE_UNDER_PROBE;
    return packed ? -slots.utilization() : slots.utilization();
  }

  private static boolean isExcluded(ServerSlots slots, SlotRequest request) {
    return request.excluded().map(slots.server().server().id()::equals).orElse(false);
  }
}
