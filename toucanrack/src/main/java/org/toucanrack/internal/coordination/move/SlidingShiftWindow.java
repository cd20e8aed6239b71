package org.toucanrack.internal.coordination.move;

/**
 * Counts arrivals and shifts of one service in a sliding window of fixed slices.
 *
 * <p>Shifts are counted for one slice longer than arrivals, so that the cap holds for every
 * position of the window. Thread-safe.
 */
final class SlidingShiftWindow {

  private static final int SLICES = 20;

  private final long sliceNanos;
  private final long[] arrivals = new long[SLICES + 1];
  private final long[] shifts = new long[SLICES + 1];
  private long newestSlice;
  private boolean started;

  SlidingShiftWindow(long windowNanos) {
    sliceNanos = Math.max(1, windowNanos / SLICES);
  }

  synchronized void arrived(long nowNanos) {
    advance(nowNanos);
    arrivals[slot(newestSlice)]++;
  }

  synchronized boolean tryShift(double capFraction, long nowNanos) {
    advance(nowNanos);
    long base = 0;
    long shifted = 0;
    for (int age = 0; age <= SLICES; age++) {
      int slot = slot(newestSlice - age);
      base += age < SLICES ? arrivals[slot] : 0;
      shifted += shifts[slot];
    }
    if (shifted + 1 > base * capFraction) {
      return false;
    }
    shifts[slot(newestSlice)]++;
    return true;
  }

  private void advance(long nowNanos) {
    long slice = Math.floorDiv(nowNanos, sliceNanos);
    if (!started) {
      started = true;
      newestSlice = slice;
    }
    long steps = Math.min(slice - newestSlice, SLICES + 1);
    for (long step = 1; step <= steps; step++) {
      int slot = slot(slice - steps + step);
      arrivals[slot] = 0;
      shifts[slot] = 0;
    }
    newestSlice = Math.max(newestSlice, slice);
  }

  private static int slot(long slice) {
    return (int) Math.floorMod(slice, SLICES + 1L);
  }
}
