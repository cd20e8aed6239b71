package org.toucanrack.steering;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.toucanrack.id.RegionId;

/**
 * How the requests below one path of one host are handled. Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name in lower case
 * @param pathPrefix begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeout longest time until the final answer
 * @param latencyObjective the latency within which an answer has its full value
 * @param priority 0 is the most urgent
 * @param destinations the services that run the requests, with their shares
 * @param maxAttempts how many servers one request may be sent to
 * @param open whether requests need no key
 * @param homeRegions regions that may run the requests; empty for all
 */
public record RouteRule(
    String name,
    String host,
    String pathPrefix,
    boolean idempotent,
    Duration timeout,
    Duration latencyObjective,
    int priority,
    List<WeightedService> destinations,
    int maxAttempts,
    boolean open,
    Set<RegionId> homeRegions) {

  /** Checks the parts and copies the collections. */
  public RouteRule {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException("path prefix must begin and end with a slash");
    }
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(latencyObjective, "latencyObjective");
    destinations = List.copyOf(destinations);
    if (destinations.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    homeRegions = Set.copyOf(homeRegions);
  }
}
