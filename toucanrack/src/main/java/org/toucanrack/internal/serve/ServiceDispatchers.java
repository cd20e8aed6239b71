package org.toucanrack.internal.serve;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Service;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.OwnedServer;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.transport.health.BackendHealth;

/** Holds the dispatcher of each service and keeps it in step with the ownership. Thread-safe. */
final class ServiceDispatchers {

  private final Map<ServiceId, FairSlotDispatcher> dispatchers = new ConcurrentHashMap<>();
  private final LongPredicate permitsDispatch;

  ServiceDispatchers(LongPredicate permitsDispatch) {
    this.permitsDispatch = permitsDispatch;
  }

  /** Returns the dispatcher of a service, or null if there is none. */
  FairSlotDispatcher find(ServiceId service) {
    return dispatchers.get(service);
  }

  /** Adopts the ownership of a snapshot. */
  void update(ControlSnapshot snapshot, Map<BackendServerId, BackendHealth> health, long nowNanos) {
    if (snapshot.configuration().isEmpty()) {
      return;
    }
    Configuration configuration = snapshot.configuration().get();
    Map<ServiceId, List<OwnedServer>> owned =
        OwnedServers.of(snapshot).stream()
            .map(server -> describe(snapshot, configuration, server, health))
            .collect(Collectors.groupingBy(server -> server.server().service()));
    for (Service service : configuration.deployment().services()) {
      dispatchers
          .computeIfAbsent(service.id(), id -> create(service))
          .update(owned.getOrDefault(service.id(), List.of()), nowNanos);
    }
  }

  /** Refuses queued requests whose deadline has passed. */
  void expire(long nowNanos) {
    dispatchers.values().forEach(dispatcher -> dispatcher.expire(nowNanos));
  }

  private FairSlotDispatcher create(Service service) {
    return new FairSlotDispatcher(service.maxQueueLength(), permitsDispatch);
  }

  private static OwnedServer describe(
      ControlSnapshot snapshot,
      Configuration configuration,
      BackendServer server,
      Map<BackendServerId, BackendHealth> health) {
    BackendHealth state = health.getOrDefault(server.id(), BackendHealth.UNKNOWN);
    return new OwnedServer(
        server,
        0,
        state.draining(),
        server.slots(),
        isCandidate(configuration, server),
        OptionalLong.empty(),
        state.load());
  }

  private static boolean isCandidate(Configuration configuration, BackendServer server) {
    Optional<ServiceVersion> version =
        configuration.deployment().versions().stream()
            .filter(declared -> declared.service().equals(server.service()))
            .filter(declared -> declared.id().equals(server.version()))
            .findFirst();
    return version.map(ServiceVersion::isCandidate).orElse(false);
  }
}
