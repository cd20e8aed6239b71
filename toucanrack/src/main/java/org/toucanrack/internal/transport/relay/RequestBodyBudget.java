package org.toucanrack.internal.transport.relay;

/**
 * Limits the bytes of request bodies that the connections of a listener hold in total, from the
 * head of a request until its answer.
 *
 * <p>Large bodies may use only a part of the budget, so that they never keep small ones out.
 * Confined to one event loop.
 */
final class RequestBodyBudget {

  /** Bodies up to this size may use the whole budget. */
  static final long SMALL_BODY_BYTES = 64 * 1024;

  private static final double LARGE_BODIES_FRACTION = 0.75;

  /**
   * Share of the heap. A body is held once: it is received into the array that the request keeps
   * and that is sent to servers. While that array grows, a second one of half the size is needed.
   */
  private static final double HEAP_FRACTION = 0.24;

  private final long limitBytes;
  private long usedBytes;

  /** Creates a budget of this many bytes. */
  RequestBodyBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Creates the budget of a process with a heap of this many bytes. */
  static RequestBodyBudget ofHeap(long heapBytes) {
    return new RequestBodyBudget((long) (HEAP_FRACTION * heapBytes));
  }

  /**
   * Reserves memory for a body, or for more of it.
   *
   * @param previousBytes the bytes reserved for the body so far
   * @param currentBytes the bytes to reserve in its place
   * @return whether there was enough; otherwise the previous reservation stays
   */
  boolean tryReserve(long previousBytes, long currentBytes) {
    double limit =
        currentBytes <= SMALL_BODY_BYTES ? limitBytes : LARGE_BODIES_FRACTION * limitBytes;
    long used = usedBytes - previousBytes + currentBytes;
    if (used > limit) {
      return false;
    }
    usedBytes = used;
    return true;
  }

  /** Releases the bytes reserved for a body. */
  void release(long bytes) {
    usedBytes -= bytes;
  }

  /** Returns the bytes reserved in total. */
  long usedBytes() {
    return usedBytes;
  }
}
