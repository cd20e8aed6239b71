package org.toucanrack.internal.coordination.rollout;

import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Selects the version that a request runs on and observes the outcomes. Thread-safe. */
public interface VersionSelector {

  /** Returns the version for one request, which counts as exposed if that is a candidate. */
  VersionId select(ServiceId service, RouteId route, CustomerId customer, long nowNanos);

  /** Records the outcome of a request. */
  void observe(Observation observation);

  /**
   * One finished request. Immutable and thread-safe.
   *
   * @param service the service
   * @param version the version it ran on
   * @param route the route
   * @param customer the customer
   * @param failed whether it failed by an error, timeout or refusal of the backend server
   * @param latencyNanos time from dispatch to answer
   * @param atNanos monotonic time of the answer
   */
  record Observation(
      ServiceId service,
      VersionId version,
      RouteId route,
      CustomerId customer,
      boolean failed,
      long latencyNanos,
      long atNanos) {}
}
