package org.toucanrack.internal.serve;

import java.util.List;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.dispatch.FairSlotDispatcher;
import org.toucanrack.internal.coordination.move.MoveConditions;
import org.toucanrack.internal.coordination.move.MoveRecord;

/**
 * Estimates the headroom for a move from the backend servers that this VM owns.
 *
 * <p>A VM that owns no servers of the service in a region or failure domain reports no headroom
 * there, so only owners plan the step. The moving traffic is assumed to fill all slots at its
 * source, which can only underestimate the headroom. Thread-safe.
 */
final class MoveHeadroom {

  /** Fraction of the free slots that a step may use, since load varies between measurements. */
  private static final double USABLE_FREE_FRACTION = 0.8;

  private final ServiceDispatchers dispatchers;

  MoveHeadroom(ServiceDispatchers dispatchers) {
    this.dispatchers = dispatchers;
  }

  /**
   * Returns whether this VM owns servers in the region or failure domain whose headroom limits the
   * next step: the source of the move if the step is a reversal, otherwise its destination.
   */
  boolean canMeasure(
      MoveRecord record, boolean reversal, Deployment deployment, List<BackendServer> owned) {
    String regionOrDomain = reversal ? record.from() : record.to();
    return ownsAny(record, MoveSplits.failureDomains(regionOrDomain, deployment), owned);
  }

  MoveConditions conditions(
      MoveRecord record, Deployment deployment, List<BackendServer> owned, long nowNanos) {
    List<FailureDomainId> sourceDomains = MoveSplits.failureDomains(record.from(), deployment);
    List<FailureDomainId> targetDomains = MoveSplits.failureDomains(record.to(), deployment);
    double sourceSlots = totalSlots(record, sourceDomains, deployment.backendServers());
    double targetSlots = totalSlots(record, targetDomains, deployment.backendServers());
    double movingSlots = Math.max(1, sourceSlots);
    double usableFreeFraction = freeFraction(record, nowNanos) * USABLE_FREE_FRACTION;
    return new MoveConditions(
        ownsAny(record, targetDomains, owned) ? usableFreeFraction * targetSlots / movingSlots : 0,
        ownsAny(record, sourceDomains, owned) ? usableFreeFraction * sourceSlots / movingSlots : 0,
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
    return totalSlots(record, domains, owned) > 0;
  }

  private static double totalSlots(
      MoveRecord record, List<FailureDomainId> domains, List<BackendServer> servers) {
    return servers.stream()
        .filter(server -> server.service().equals(record.service()))
        .filter(server -> domains.contains(server.failureDomain()))
        .mapToInt(BackendServer::slots)
        .sum();
  }
}
