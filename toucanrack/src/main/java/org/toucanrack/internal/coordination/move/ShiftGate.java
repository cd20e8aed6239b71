package org.toucanrack.internal.coordination.move;

import java.util.Map;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;

/**
 * Bounds how much traffic of a service this VM diverts from the failure domain that would serve it.
 * Thread-safe.
 */
public interface ShiftGate {

  /** Counts the arrival of one request of the service, whether it is shifted or not. */
  void recordArrival(ServiceId service, long nowNanos);

  /**
   * Returns whether one request may be served in another failure domain now, and counts it if so.
   */
  boolean tryShift(ServiceId service, FailureDomainId from, FailureDomainId to, long nowNanos);

  /**
   * Returns the fractions of the traffic of this VM's failure domain to serve in other ones now.
   * They approach the splits of moves within the cap.
   */
  default Map<FailureDomainId, Double> split(ServiceId service, long nowNanos) {
    return Map.of();
  }
}
