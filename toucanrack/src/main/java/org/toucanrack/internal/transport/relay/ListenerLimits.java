package org.toucanrack.internal.transport.relay;

import java.time.Duration;

/**
 * Size and time limits of a listener. Immutable and thread-safe.
 *
 * @param maxHeadBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of a body
 * @param requestTimeout maximum time from the first byte of a request to its last
 * @param idleTimeout maximum time without a request
 */
public record ListenerLimits(
    int maxHeadBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {

  /** Limits for requests of the platform and of other VMs, which are small and sent quickly. */
  public static final ListenerLimits INTERNAL =
      new ListenerLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
