package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;

/** Counts events of a sliding window. Not thread-safe. */
public final class SlidingWindowCounter {

  private final long windowNanos;
  private final ArrayDeque<Long> eventNanos = new ArrayDeque<>();

  /** Creates an empty count. */
  public SlidingWindowCounter(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Counts an event; times have to rise. */
  public void record(long nowNanos) {
    eventNanos.addLast(nowNanos);
  }

  /** Returns the number of events within the window. */
  public int count(long nowNanos) {
    while (!eventNanos.isEmpty() && nowNanos - eventNanos.peekFirst() > windowNanos) {
      eventNanos.pollFirst();
    }
    return eventNanos.size();
  }
}
