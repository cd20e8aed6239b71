package org.toucanrack.configuration;

import java.time.Duration;
import java.util.Set;
import org.toucanrack.id.RouteId;

/**
 * A route of a service. Immutable and thread-safe.
 *
 * @param id the route, unique in its service
 * @param methods HTTP methods in upper case; empty for all
 * @param pathPrefix starts with {@code /}; the path after the service name
 * @param idempotent whether a request may be repeated
 * @param open whether no key is needed
 * @param timeout longest time from arrival to answer
 * @param maxBodyBytes largest request body
 */
public record Route(
    RouteId id,
    Set<String> methods,
    String pathPrefix,
    boolean idempotent,
    boolean open,
    Duration timeout,
    int maxBodyBytes) {

  /** Copies the set and rejects impossible values. */
  public Route {
    methods = Set.copyOf(methods);
    if (!pathPrefix.startsWith("/")) {
      throw new IllegalArgumentException("path prefix must start with '/'");
    }
    if (timeout.isNegative() || timeout.isZero()) {
      throw new IllegalArgumentException("timeout must be positive");
    }
  }

  /** Returns whether the route covers the method and path. */
  public boolean matches(String method, String path) {
    return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
  }
}
