package org.toucanrack.internal.transport.http;

import org.toucanrack.Verdict;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;

/** Receives finished requests of callers. Thread-safe. */
@FunctionalInterface
public interface TrafficMetrics {

  /** Ignores all requests. */
  TrafficMetrics NONE = (service, customer, status, verdict, latencyNanos) -> {};

  /** Records one answered request. Service and customer are declared in the configuration. */
  void finished(
      ServiceId service, CustomerId customer, int status, Verdict verdict, long latencyNanos);
}
