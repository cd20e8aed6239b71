package org.toucanrack.internal.coordination.dispatch;

/**
 * Allocates the slots of the backend servers of one service that this VM owns.
 *
 * <p>Invariant: for each server, grants that are not released never exceed its slots. Thread-safe.
 */
public interface SlotDispatcher {

  /** Grants, queues or refuses a request. */
  void submit(SlotRequest request, SlotListener listener, long nowNanos);

  /** Removes and refuses a queued request; returns false if it is not queued. */
  boolean cancel(String requestId, long nowNanos);

  /** Releases a slot and dispatches queued requests. A second release of a grant has no effect. */
  void release(SlotGrant grant, SlotOutcome outcome, long nowNanos);

  /** Refuses queued requests whose deadline has passed. */
  void expire(long nowNanos);

  /** Returns the number of slots that are free now, over all usable servers. */
  int freeSlots(long nowNanos);
}
