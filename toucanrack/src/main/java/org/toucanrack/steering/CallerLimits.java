package org.toucanrack.steering;

import java.time.Duration;

/**
 * Limits on the connections and requests of callers. Immutable and thread-safe.
 *
 * @param maxHeadBytes size limit of the request line and header fields together
 * @param maxBodyBytes size limit of a request body
 * @param requestTimeout longest time from the first byte of a request to its last
 * @param idleTimeout longest time a connection may stay open without a request
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {

  /** Limits that apply until the first configuration is received. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
