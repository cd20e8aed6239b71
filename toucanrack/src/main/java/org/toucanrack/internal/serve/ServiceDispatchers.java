package org.toucanrack.internal.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.OwnedServer;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.ResourceGrant;
import org.toucanrack.internal.transport.health.BackendHealth;

/**
 * Creates the dispatcher of each service and updates it when ownership, health or drains change.
 *
 * <p>Invariant: a dispatcher uses a backend server only while the latest snapshot grants it with an
 * epoch higher than the last one that was stopped. Thread-safe.
 */
final class ServiceDispatchers {

  /**
   * Time for which an announced drain should override the health endpoint, which reports it later.
   * Not applied yet: announcements are recorded, but the dispatchers do not use them.
   */
  private static final long ANNOUNCED_DRAIN_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<ServiceId, FairSlotDispatcher> dispatchers = new ConcurrentHashMap<>();
  private final Map<BackendServerId, Long> stoppedEpochs = new HashMap<>();
  private final LongPredicate permitsDispatch;
  private final Map<BackendServerId, Long> drainAnnouncedAtNanos = new HashMap<>();
  private Optional<ControlSnapshot> latestSnapshot = Optional.empty();
  private Map<BackendServerId, BackendHealth> latestHealth = Map.of();
  private Set<String> operatorDrained = Set.of();

  ServiceDispatchers(LongPredicate permitsDispatch) {
    this.permitsDispatch = permitsDispatch;
  }

  /** Returns the dispatcher of a service, or null if there is none. */
  FairSlotDispatcher find(ServiceId service) {
    return dispatchers.get(service);
  }

  /** Returns the slots of the backend servers of a service that this VM may use. */
  synchronized int ownedSlots(ServiceId service) {
    return latestSnapshot.stream()
        .flatMap(snapshot -> OwnedServerList.granted(snapshot).stream())
        .filter(server -> server.service().equals(service))
        .mapToInt(BackendServer::slots)
        .sum();
  }

  /** Applies the ownership of a snapshot and the backend servers that operators drain. */
  synchronized void update(ControlSnapshot snapshot, Set<String> drained, long nowNanos) {
    latestSnapshot = Optional.of(snapshot);
    operatorDrained = Set.copyOf(drained);
    updateDispatchers(nowNanos);
  }

  /** Applies the health that backend servers report. */
  synchronized void update(Map<BackendServerId, BackendHealth> health, long nowNanos) {
    latestHealth = health;
    updateDispatchers(nowNanos);
  }

  /** Records the time at which a backend server announced in a response that it is draining. */
  synchronized void onDrainAnnounced(BackendServerId server, long nowNanos) {
    drainAnnouncedAtNanos.put(server, nowNanos);
    updateDispatchers(nowNanos);
  }

  /**
   * Stops using a backend server and returns whether its last request has ended. The server is used
   * again when a snapshot grants it with a higher epoch.
   */
  synchronized boolean stop(ResourceId resource, long epoch, long nowNanos) {
    if (resource.backendServer().isEmpty()) {
      return true;
    }
    BackendServerId server = resource.backendServer().get();
    stoppedEpochs.merge(server, epoch, Math::max);
    updateDispatchers(nowNanos);
    return dispatchers.values().stream().allMatch(dispatcher -> isIdle(dispatcher, server));
  }

  /** Refuses queued requests whose deadline has passed. */
  void expire(long nowNanos) {
    dispatchers.values().forEach(dispatcher -> dispatcher.expire(nowNanos));
  }

  private static boolean isIdle(FairSlotDispatcher dispatcher, BackendServerId server) {
    AtomicBoolean idle = new AtomicBoolean();
    dispatcher.whenIdle(server, () -> idle.set(true));
    return idle.get();
  }

  private void updateDispatchers(long nowNanos) {
    latestSnapshot
        .filter(snapshot -> snapshot.configuration().isPresent())
        .ifPresent(snapshot -> updateDispatchers(snapshot, nowNanos));
  }

  private void updateDispatchers(ControlSnapshot snapshot, long nowNanos) {
    OwnedServerList list =
        new OwnedServerList(snapshot, latestHealth, operatorDrained, this::isUsable);
    Map<ServiceId, List<OwnedServer>> owned =
        list.servers().stream().collect(Collectors.groupingBy(server -> server.server().service()));
    for (Service service : snapshot.configuration().orElseThrow().deployment().services()) {
      dispatchers
          .computeIfAbsent(service.id(), id -> newDispatcher(service))
          .update(owned.getOrDefault(service.id(), List.of()), nowNanos);
    }
  }

  private Set<String> drainedServers() {
    Set<String> drained = new HashSet<>(operatorDrained);
    drainAnnouncedAtNanos.keySet().forEach(server -> drained.add(server.value()));
    return drained;
  }

  private boolean isUsable(BackendServerId server, ResourceGrant grant) {
    return grant.epoch() > stoppedEpochs.getOrDefault(server, Long.MIN_VALUE);
  }

  private FairSlotDispatcher newDispatcher(Service service) {
    return new FairSlotDispatcher(service.maxQueueLength(), permitsDispatch);
  }
}
