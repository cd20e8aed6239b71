package org.toucanrack.internal.transport.relay;

/**
 * Bounds the bytes of unfinished answers that the connections of a pool hold together.
 *
 * <p>A connection may hold a part of what all of them leave free. Endless answers are therefore
 * broken off long before the memory is used up, the earlier the more of them there are, and short
 * answers still find room. Confined to one event loop.
 */
final class ResponseBufferBudget {

  /** Of 20 endless answers at once each then gets a 24th, and a sixth stays free. */
  private static final double MAX_FRACTION_OF_FREE = 0.25;

  private final long limitBytes;
  private long usedBytes;

  /** Creates a bound in bytes. */
  ResponseBufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Replaces what a connection holds.
   *
   * @return whether the connection may go on
   */
  boolean update(long previousBytes, long currentBytes) {
    usedBytes += currentBytes - previousBytes;
    return currentBytes <= MAX_FRACTION_OF_FREE * (limitBytes - usedBytes);
  }

  /** Returns the bytes that all connections hold. */
  long usedBytes() {
    return usedBytes;
  }
}
