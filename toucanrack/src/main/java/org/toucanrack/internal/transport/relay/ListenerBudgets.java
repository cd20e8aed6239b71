package org.toucanrack.internal.transport.relay;

/**
 * The memory that the connections of one or more listeners may use. Listeners of the same event
 * loop share one, so that each further listener does not claim a part of the heap of its own.
 *
 * <p>Confined to one event loop.
 */
public final class ListenerBudgets {

  /**
   * Share of the heap for requests of callers. A body is held once: it is received into the array
   * that the request keeps and that is sent to servers. While that array grows, a second one of
   * half the size is needed.
   */
  private static final double CALLER_REQUEST_HEAP_FRACTION = 0.24;

  /**
   * Share of the heap for responses that callers have not accepted yet. A connection may use a
   * quarter of what is free for responses that wait for earlier ones; those that do not fit are
   * replaced by 502.
   */
  private static final double CALLER_RESPONSE_HEAP_FRACTION = 0.05;

  /** Requests of other VMs and of the platform are small: look-ups, checks, rows of one table. */
  private static final double INTERNAL_REQUEST_HEAP_FRACTION = 0.04;

  /** Metrics and the rows that other VMs ask for have up to a few megabytes. */
  private static final double INTERNAL_RESPONSE_HEAP_FRACTION = 0.05;

  private final RequestMemoryBudget requests;
  private final ResponseBufferBudget responses;

  ListenerBudgets(RequestMemoryBudget requests, ResponseBufferBudget responses) {
    this.requests = requests;
    this.responses = responses;
  }

  /** Creates the budgets of the callers' listener of a process with a heap of this many bytes. */
  public static ListenerBudgets ofCallers(long heapBytes) {
    return ofHeap(heapBytes, CALLER_REQUEST_HEAP_FRACTION, CALLER_RESPONSE_HEAP_FRACTION);
  }

  /** Creates the budgets that all internal listeners of a process share. */
  public static ListenerBudgets ofInternalListeners(long heapBytes) {
    return ofHeap(heapBytes, INTERNAL_REQUEST_HEAP_FRACTION, INTERNAL_RESPONSE_HEAP_FRACTION);
  }

  private static ListenerBudgets ofHeap(
      long heapBytes, double requestFraction, double responseFraction) {
    return new ListenerBudgets(
        new RequestMemoryBudget((long) (requestFraction * heapBytes)),
        new ResponseBufferBudget((long) (responseFraction * heapBytes)));
  }

  RequestMemoryBudget requests() {
    return requests;
  }

  ResponseBufferBudget responses() {
    return responses;
  }
}
