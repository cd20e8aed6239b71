package org.toucanrack.steering;

import java.time.Duration;

/**
 * What callers may send. Immutable and thread-safe.
 *
 * @param maxHeadBytes largest request line and header together
 * @param maxBodyBytes largest body
 * @param headTimeout longest time to send a request
 * @param idleTimeout longest time without a request
 */
public record CallerLimits(
    int maxHeadBytes, long maxBodyBytes, Duration headTimeout, Duration idleTimeout) {

  /** Limits until a configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
