package org.toucanrack.internal.coordination.dispatch;

/** A request in the queue with the listener to notify. Immutable and thread-safe. */
record QueuedRequest(SlotRequest request, SlotListener listener) {

  boolean isExpired(long nowNanos) {
    return request.deadlineNanos() - nowNanos <= 0;
  }
}
