package org.toucanrack.internal.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the callers' port. Immutable and thread-safe.
 *
 * @param listen address for callers; port 0 selects a free port
 * @param threads number of event loops that serve callers
 * @param maxConnections maximum number of callers' connections over all threads
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param bodyTimeout maximum time from the end of the headers to the end of the body
 * @param idleTimeout maximum time between requests of one connection
 */
public record TrafficSettings(
    InetSocketAddress listen,
    int threads,
    int maxConnections,
    Duration headerTimeout,
    Duration bodyTimeout,
    Duration idleTimeout) {

  private static final int DEFAULT_MAX_CONNECTIONS = 20_000;
  private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_BODY_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Requires at least one thread and one connection. */
  public TrafficSettings {
    if (threads < 1 || maxConnections < 1) {
      throw new IllegalArgumentException("traffic needs at least one thread and one connection");
    }
  }

  /** Returns settings with the default bounds. */
  public static TrafficSettings of(InetSocketAddress listen, int threads) {
    return new TrafficSettings(
        listen,
        threads,
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_HEADER_TIMEOUT,
        DEFAULT_BODY_TIMEOUT,
        DEFAULT_IDLE_TIMEOUT);
  }
}
