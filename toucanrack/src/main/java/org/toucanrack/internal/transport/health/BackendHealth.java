package org.toucanrack.internal.transport.health;

/**
 * What a backend server last said of itself. Immutable and thread-safe.
 *
 * @param draining whether it is leaving
 * @param load from 0 to 1
 */
public record BackendHealth(boolean draining, double load) {

  /** A server that has not answered yet. */
  public static final BackendHealth UNKNOWN = new BackendHealth(false, 0);
}
