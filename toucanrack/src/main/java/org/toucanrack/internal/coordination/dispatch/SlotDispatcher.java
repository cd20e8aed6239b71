package org.toucanrack.internal.coordination.dispatch;

/**
 * Gives out the slots of the backend servers of one service that this VM owns.
 *
 * <p>Invariant: for each server, grants that are not released never exceed its slots. Thread-safe.
 */
public interface SlotDispatcher {

  /** Grants, queues or refuses a request. */
  void submit(SlotRequest request, SlotListener listener, long nowNanos);

  /** Removes a queued request; its listener is told that it was refused. */
  boolean cancel(String requestId, long nowNanos);

  /** Gives a slot back and dispatches the next request. */
  void release(SlotGrant grant, SlotOutcome outcome, long nowNanos);

  /** Refuses queued requests whose deadline has passed. */
  void expire(long nowNanos);

  /** Returns slots that are free now, over all usable servers. */
  int freeSlots(long nowNanos);
}
