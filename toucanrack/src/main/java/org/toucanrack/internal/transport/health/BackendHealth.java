package org.toucanrack.internal.transport.health;

/**
 * Health that a backend server last reported. Immutable and thread-safe.
 *
 * @param draining whether the server is draining
 * @param load reported load, from 0 to 1
 */
public record BackendHealth(boolean draining, double load) {

  /** Health of a server that has not answered yet. */
  public static final BackendHealth UNKNOWN = new BackendHealth(false, 0);
}
