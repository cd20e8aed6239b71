package org.toucanrack.internal.coordination.steer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.id.ServiceId;
import org.toucanrack.steering.WeightedService;

/**
 * Splits the requests of a route among its services by smooth weighted round robin, so that in any
 * run of requests each service gets its share to within one request. Not thread-safe.
 */
public final class ServiceSplit {

  private final Map<ServiceId, Double> credits = new HashMap<>();
  private List<WeightedService> currentDestinations = List.of();

  /**
   * Returns the service of the next request. The state is reset if the destinations have changed.
   */
  public ServiceId next(List<WeightedService> destinations) {
    if (destinations.size() == 1) {
      return destinations.get(0).service();
    }
    if (!destinations.equals(currentDestinations)) {
      credits.clear();
      currentDestinations = destinations;
    }
    double total = 0;
    WeightedService best = null;
    double bestCredit = 0;
    for (WeightedService destination : destinations) {
      total += destination.weight();
      double updatedCredit =
          credits.merge(destination.service(), destination.weight(), Double::sum);
      if (destination.weight() > 0 && (best == null || updatedCredit > bestCredit)) {
        best = destination;
        bestCredit = updatedCredit;
      }
    }
    if (best == null) {
      return destinations.get(0).service();
    }
    credits.merge(best.service(), -total, Double::sum);
    return best.service();
  }
}
