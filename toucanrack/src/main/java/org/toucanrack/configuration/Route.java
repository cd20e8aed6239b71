package org.toucanrack.configuration;

import java.time.Duration;
import java.util.Set;
import org.toucanrack.id.RouteId;

/**
 * A route of a service. Immutable and thread-safe.
 *
 * @param id the route, unique in its service
 * @param methods HTTP methods in upper case; empty for all
 * @param pathPrefix prefix of the path after the service name; starts with {@code /}
 * @param idempotent whether a request may be retried although it may have run
 * @param open whether requests need no key
 * @param timeout longest time from the arrival of a request to its answer
 * @param maxBodyBytes size limit of a request body
 */
public record Route(
    RouteId id,
    Set<String> methods,
    String pathPrefix,
    boolean idempotent,
    boolean open,
    Duration timeout,
    int maxBodyBytes) {

  /** Copies the set; rejects a relative prefix and a timeout that is not positive. */
  public Route {
    methods = Set.copyOf(methods);
    if (!pathPrefix.startsWith("/")) {
      throw new IllegalArgumentException("path prefix must start with '/'");
    }
    if (timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("timeout must be positive");
    }
  }

  /** Returns whether requests with this method and path belong to the route. */
  public boolean matches(String method, String path) {
    return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
  }
}
