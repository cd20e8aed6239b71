package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;

/** Counts events of a sliding window. Not thread-safe. */
final class SlidingCount {

  private final long windowNanos;
  private final ArrayDeque<Long> times = new ArrayDeque<>();

  SlidingCount(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  void add(long nowNanos) {
    times.addLast(nowNanos);
  }

  int count(long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.pollFirst();
    }
    return times.size();
  }
}
