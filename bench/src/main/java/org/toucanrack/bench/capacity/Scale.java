package org.toucanrack.bench.capacity;

/** Scales the problem sizes of a run and sets the measuring time of each figure. */
enum Scale {
  /** Only verifies that every benchmark runs; its figures are not meaningful. */
  TINY(0.02, 1, 1),
  /** The sizes of the project's scale target. */
  TARGET(1, 100, 20);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final double sizeFactor;
  private final long warmUpMillis;
  private final long repeatMillis;

  Scale(double sizeFactor, long warmUpMillis, long repeatMillis) {
    this.sizeFactor = sizeFactor;
    this.warmUpMillis = warmUpMillis;
    this.repeatMillis = repeatMillis;
  }

  /** Returns the scaled equivalent of a target size, at least 1. */
  int sizeFor(int targetSize) {
    return (int) Math.max(1, Math.round(targetSize * sizeFactor));
  }

  long warmUpNanos() {
    return warmUpMillis * NANOS_PER_MILLI;
  }

  long repeatNanos() {
    return repeatMillis * NANOS_PER_MILLI;
  }
}
