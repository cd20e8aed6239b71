package org.toucanrack.internal.transport.relay;

/**
 * Limits the memory that the connections of a listener hold in total for requests, from their first
 * byte until their answer.
 *
 * <p>Connections with large bodies may use only a part of the budget, so that they never keep small
 * requests out. Confined to one event loop.
 */
final class RequestMemoryBudget {

  /** Connections that need no more than this may use the whole budget. */
  static final long SMALL_BYTES = 64 * 1024;

  private static final double LARGE_FRACTION = 0.75;

  private final long limitBytes;
  private long usedBytes;

  /** Creates a budget of this many bytes. */
  RequestMemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Reserves memory for a connection.
   *
   * @param previousBytes the bytes reserved for the connection so far
   * @param currentBytes the bytes to reserve in their place
   * @return whether there was enough; otherwise the previous reservation stays
   */
  boolean tryReserve(long previousBytes, long currentBytes) {
    double limit = currentBytes <= SMALL_BYTES ? limitBytes : LARGE_FRACTION * limitBytes;
    if (currentBytes > previousBytes && usedBytes - previousBytes + currentBytes > limit) {
      return false;
    }
    replace(previousBytes, currentBytes);
    return true;
  }

  /** Counts memory that a connection holds already, also above the limit. */
  void replace(long previousBytes, long currentBytes) {
    usedBytes += currentBytes - previousBytes;
  }

  /** Releases the bytes reserved for a connection. */
  void release(long bytes) {
    replace(bytes, 0);
  }

  /** Returns the bytes reserved in total. */
  long usedBytes() {
    return usedBytes;
  }
}
