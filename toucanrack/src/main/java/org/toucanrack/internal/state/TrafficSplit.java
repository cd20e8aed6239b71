package org.toucanrack.internal.state;

import java.util.Map;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;

/**
 * Distribution of a service's traffic that moves have set: for traffic that arrives in one failure
 * domain, the fraction to serve in each other one. Immutable and thread-safe.
 *
 * @param service the service
 * @param from failure domain that would serve the traffic without the split
 * @param fractions fraction for each other failure domain; the rest is served in {@code from}
 */
public record TrafficSplit(
    ServiceId service, FailureDomainId from, Map<FailureDomainId, Double> fractions) {

  /** Copies the map and rejects fractions that sum to more than 1. */
  public TrafficSplit {
    fractions = Map.copyOf(fractions);
    double sum = fractions.values().stream().mapToDouble(Double::doubleValue).sum();
    if (sum > 1.0 + 1e-9) {
      throw new IllegalArgumentException("fractions of a split sum to more than 1: " + sum);
    }
  }
}
