package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;

/** Counts the events within a sliding window. Not thread-safe. */
public final class SlidingWindowCounter {

  private final long windowNanos;
  private final ArrayDeque<Long> eventNanos = new ArrayDeque<>();

  /** Creates a counter without events. */
  public SlidingWindowCounter(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Records an event; times must not decrease. */
  public void record(long nowNanos) {
    eventNanos.addLast(nowNanos);
  }

  /** Forgets the latest event. */
  public void removeLatest() {
    eventNanos.pollLast();
  }

  /** Returns the number of events within the window that ends now. */
  public int count(long nowNanos) {
    while (!eventNanos.isEmpty() && nowNanos - eventNanos.peekFirst() > windowNanos) {
      eventNanos.pollFirst();
    }
    return eventNanos.size();
  }
}
