package org.toucanrack.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.ServiceId;

/**
 * A hosted service. Immutable and thread-safe.
 *
 * @param id the id; also the first segment of its request paths
 * @param routes its routes; at least one
 * @param retryBudgetFraction largest ratio of retries to first attempts, 0 to 1
 * @param maxQueueLength number of requests that may wait for a slot on one owner VM
 * @param serveKeyedWhenCutOff whether requests that need a key are still served when the keys
 *     cannot be confirmed as current
 */
public record Service(
    ServiceId id,
    List<Route> routes,
    double retryBudgetFraction,
    int maxQueueLength,
    boolean serveKeyedWhenCutOff) {

  /** Copies the list and rejects a fraction outside 0 to 1. */
  public Service {
    routes = List.copyOf(routes);
    if (retryBudgetFraction < 0 || retryBudgetFraction > 1) {
      throw new IllegalArgumentException("retry budget fraction must be between 0 and 1");
    }
  }

  /** Returns the matching route with the longest prefix. */
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
