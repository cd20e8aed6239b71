package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;

/** Counts events of a sliding window. Not thread-safe. */
public final class SlidingCount {

  private final long windowNanos;
  private final ArrayDeque<Long> times = new ArrayDeque<>();

  /** Creates an empty count. */
  public SlidingCount(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Counts an event; times have to rise. */
  public void add(long nowNanos) {
    times.addLast(nowNanos);
  }

  /** Returns the number of events within the window. */
  public int count(long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.pollFirst();
    }
    return times.size();
  }
}
