package org.toucanrack.internal.serve;

import java.util.List;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.coordination.move.MoveConditions;
import org.toucanrack.internal.coordination.move.MoveRecord;

/**
 * Measures headroom for a move from the backend servers that this VM owns.
 *
 * <p>A VM without servers of the service at a place sees no headroom there, so it leaves the step
 * to the owners. The moving traffic is taken to fill all slots at its source, which can only make
 * the headroom look smaller than it is. Thread-safe.
 */
final class MoveLoad {

  /** Part of the free slots that a step may count on, as load varies between measurements. */
  private static final double USABLE_FREE_FRACTION = 0.8;

  private final ServiceDispatchers dispatchers;

  MoveLoad(ServiceDispatchers dispatchers) {
    this.dispatchers = dispatchers;
  }

  /** Returns whether this VM owns servers at the place whose headroom the next step needs. */
  boolean canJudge(
      MoveRecord record, boolean backwards, Deployment deployment, List<BackendServer> owned) {
    String place = backwards ? record.from() : record.to();
    return ownsAny(record, MoveSplits.domains(place, deployment), owned);
  }

  MoveConditions conditions(
      MoveRecord record, Deployment deployment, List<BackendServer> owned, long nowNanos) {
    List<FailureDomainId> source = MoveSplits.domains(record.from(), deployment);
    List<FailureDomainId> target = MoveSplits.domains(record.to(), deployment);
    double sourceSlots = slots(record, source, deployment.backendServers());
    double targetSlots = slots(record, target, deployment.backendServers());
    double moving = Math.max(1, sourceSlots);
    double free = freeFraction(record, nowNanos) * USABLE_FREE_FRACTION;
    return new MoveConditions(
        ownsAny(record, target, owned) ? free * targetSlots / moving : 0,
        ownsAny(record, source, owned) ? free * sourceSlots / moving : 0,
        1);
  }

  private double freeFraction(MoveRecord record, long nowNanos) {
    FairSlotDispatcher dispatcher = dispatchers.find(record.service());
    if (dispatcher == null) {
      return 0;
    }
    int slots = dispatchers.ownedSlots(record.service());
    return slots == 0 ? 0 : (double) dispatcher.freeSlots(nowNanos) / slots;
  }

  private static boolean ownsAny(
      MoveRecord record, List<FailureDomainId> domains, List<BackendServer> owned) {
    return slots(record, domains, owned) > 0;
  }

  private static double slots(
      MoveRecord record, List<FailureDomainId> domains, List<BackendServer> servers) {
    return servers.stream()
        .filter(server -> server.service().equals(record.service()))
        .filter(server -> domains.contains(server.failureDomain()))
        .mapToInt(BackendServer::slots)
        .sum();
  }
}
