package org.toucanrack.internal.serve;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.transport.operator.VmStatus;

/** Collects the status of this VM from its components. Thread-safe. */
final class StatusReader {

  private final Supplier<ControlSnapshot> snapshots;
  private final ServiceDispatchers dispatchers;
  private final RequestMetrics metrics;
  private final LongSupplier clock;

  StatusReader(
      Supplier<ControlSnapshot> snapshots,
      ServiceDispatchers dispatchers,
      RequestMetrics metrics,
      LongSupplier clock) {
    this.snapshots = snapshots;
    this.dispatchers = dispatchers;
    this.metrics = metrics;
    this.clock = clock;
  }

  VmStatus read() {
    ControlSnapshot snapshot = snapshots.get();
    long now = clock.getAsLong();
    return new VmStatus(
        snapshot.self().incarnation().vm().value(),
        Long.toHexString(snapshot.self().incarnation().number()),
        snapshot.self().failureDomain().value(),
        snapshot.ready(),
        snapshot.configuration().map(Configuration::version).orElse(0L),
        leaseText(snapshot, now),
        TimeUnit.NANOSECONDS.toMillis(snapshot.keyFreshness().ageNanos(now)),
        cutOffServices(snapshot, now),
        memberLines(snapshot),
        serviceLines(snapshot, now),
        metrics.customerLines());
  }

  private static String leaseText(ControlSnapshot snapshot, long nowNanos) {
    if (!snapshot.lease().permitsDispatch(nowNanos)) {
      return "Its lease is not valid.";
    }
    return snapshot.lease().isolated()
        ? "The store is not reachable; it keeps what it owned."
        : "Its lease is valid.";
  }

  private static List<String> cutOffServices(ControlSnapshot snapshot, long nowNanos) {
    return snapshot.configuration().stream()
        .filter(configuration -> isStale(snapshot, configuration, nowNanos))
        .flatMap(configuration -> configuration.deployment().services().stream())
        .filter(Service::serveKeyedWhenCutOff)
        .map(service -> service.id().value())
        .toList();
  }

  private static boolean isStale(
      ControlSnapshot snapshot, Configuration configuration, long nowNanos) {
    long limit = configuration.deployment().rules().keyFreshness().toNanos();
    return snapshot.keyFreshness().ageNanos(nowNanos) > limit;
  }

  private static List<VmStatus.MemberLine> memberLines(ControlSnapshot snapshot) {
    return snapshot.members().values().stream()
        .map(
            member ->
                new VmStatus.MemberLine(
                    member.incarnation().vm().value(),
                    member.failureDomain().value(),
                    member.draining()))
        .sorted((one, other) -> one.vm().compareTo(other.vm()))
        .toList();
  }

  private List<VmStatus.ServiceLine> serviceLines(ControlSnapshot snapshot, long nowNanos) {
    List<BackendServer> owned = OwnedServerList.granted(snapshot);
    return snapshot.configuration().stream()
        .flatMap(configuration -> configuration.deployment().services().stream())
        .map(service -> serviceLine(service.id(), owned, nowNanos))
        .toList();
  }

  private VmStatus.ServiceLine serviceLine(
      ServiceId service, List<BackendServer> owned, long nowNanos) {
    List<BackendServer> servers =
        owned.stream().filter(server -> server.service().equals(service)).toList();
    int slots = servers.stream().mapToInt(BackendServer::slots).sum();
    FairSlotDispatcher dispatcher = dispatchers.find(service);
    int free = dispatcher == null ? 0 : dispatcher.freeSlots(nowNanos);
    return new VmStatus.ServiceLine(service.value(), servers.size(), slots, free);
  }
}
