package org.toucanrack.internal.transport.relay;

/**
 * Limits the bytes of responses that connections buffer in total: incomplete ones of the servers of
 * a pool, or complete ones that callers have not accepted yet.
 *
 * <p>Each connection may buffer a fixed fraction of the bytes that all connections leave free.
 * Endless responses are therefore aborted long before the limit is reached, the earlier the more of
 * them there are, and short responses still fit. Confined to one event loop.
 */
final class ResponseBufferBudget {

  /** With 20 concurrent endless responses, each gets 1/24 of the limit and 1/6 stays free. */
  private static final double MAX_FRACTION_OF_FREE = 0.25;

  private final long limitBytes;
  private long usedBytes;

  /** Creates a budget of this many bytes. */
  ResponseBufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Replaces the bytes counted for one connection.
   *
   * @return whether the connection may continue to buffer these bytes
   */
  boolean update(long previousBytes, long currentBytes) {
    usedBytes += currentBytes - previousBytes;
    return currentBytes <= MAX_FRACTION_OF_FREE * (limitBytes - usedBytes);
  }

  /** Returns whether the connections buffer more than the limit in total. */
  boolean isExceeded() {
    return usedBytes > limitBytes;
  }

  /** Returns whether the connections buffer twice the limit in total. */
  boolean isExhausted() {
    return usedBytes > 2 * limitBytes;
  }

  /** Returns the bytes that all connections buffer in total. */
  long usedBytes() {
    return usedBytes;
  }
}
