package org.toucanrack.internal.transport.relay;

import java.time.Duration;

/**
 * What a listener accepts. Immutable and thread-safe.
 *
 * @param maxHeadBytes largest request line and header together
 * @param maxBodyBytes largest body
 * @param requestTimeout longest time from the first byte of a request to its last
 * @param idleTimeout longest time without a request
 */
public record ListenerLimits(
    int maxHeadBytes, long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {

  /** Limits of listeners whose clients are the platform and other VMs: small and quick requests. */
  public static final ListenerLimits INTERNAL =
      new ListenerLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
