package org.toucanrack.steering;

import java.util.Objects;
import org.toucanrack.id.ServiceId;

/**
 * A service that receives a share of the requests of a route. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight the weight of its share, relative to the other services of the route; at least 0
 */
public record WeightedService(ServiceId service, double weight) {

  /** Rejects weights that are negative or not finite. */
  public WeightedService {
    Objects.requireNonNull(service, "service");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be at least 0, was " + weight);
    }
  }
}
