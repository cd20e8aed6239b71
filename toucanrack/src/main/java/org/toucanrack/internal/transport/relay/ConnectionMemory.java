package org.toucanrack.internal.transport.relay;

/**
 * The memory that the connections of a listener hold for requests, or those of a pool for answers.
 * Immutable and thread-safe.
 *
 * @param idleBytes bytes held by connections without a request
 * @param busyBytes bytes held by connections on which a request is being received or handled
 */
public record ConnectionMemory(long idleBytes, long busyBytes) {

  /** Rejects negative sizes. */
  public ConnectionMemory {
    if (idleBytes < 0 || busyBytes < 0) {
      throw new IllegalArgumentException("negative size: " + idleBytes + ", " + busyBytes);
    }
  }
}
