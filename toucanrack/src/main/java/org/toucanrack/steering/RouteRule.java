package org.toucanrack.steering;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.toucanrack.id.RegionId;

/**
 * How requests with one host and path prefix are handled. Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name in lower case
 * @param pathPrefix the path prefix; begins and ends with a slash
 * @param idempotent whether a request may be retried although it may have run
 * @param timeout longest time from the arrival of a request to its final answer
 * @param latencyObjective the latency within which an answer has its full value
 * @param priority the priority among the requests of equal customers; 0 is the highest
 * @param destinations the services that run the requests, with their weights; empty if none is
 *     known, so that the requests have to be refused
 * @param maxAttempts largest number of servers that one request may be sent to
 * @param open whether requests need no key
 * @param homeRegions the regions allowed to run the requests; empty for all
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

  /** Copies the collections; rejects missing parts and a malformed prefix. */
  public RouteRule {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      throw new IllegalArgumentException("path prefix must begin and end with a slash");
    }
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(latencyObjective, "latencyObjective");
    destinations = List.copyOf(destinations);
    homeRegions = Set.copyOf(homeRegions);
  }
}
