package org.toucanrack.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.ServiceId;

/**
 * A hosted service. Immutable and thread-safe.
 *
 * @param id the service; the first segment of its request paths
 * @param routes at least one
 * @param retryBudgetFraction retries as a fraction of first attempts, 0 to 1
 * @param maxQueueLength requests that may wait for a slot at one owner
 * @param serveKeyedWhenCutOff whether keyed routes go on without proof of fresh keys
 */
public record Service(
    ServiceId id,
    List<Route> routes,
    double retryBudgetFraction,
    int maxQueueLength,
    boolean serveKeyedWhenCutOff) {

  /** Copies the list and rejects impossible values. */
  public Service {
    routes = List.copyOf(routes);
    if (retryBudgetFraction < 0 || retryBudgetFraction > 1) {
      throw new IllegalArgumentException("retry budget fraction must be between 0 and 1");
    }
  }

  /** Returns the route with the longest matching prefix. */
  public Optional<Route> routeFor(String method, String path) {
    return routes.stream()
        .filter(route -> route.matches(method, path))
        .max(Comparator.comparingInt(route -> route.pathPrefix().length()));
  }

  /** Returns the longest timeout of all routes, in milliseconds. */
  public long longestTimeoutMillis() {
    return routes.stream().mapToLong(route -> route.timeout().toMillis()).max().orElse(0);
  }
}
