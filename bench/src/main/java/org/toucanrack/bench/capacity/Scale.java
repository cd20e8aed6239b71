package org.toucanrack.bench.capacity;

/** How large the sizes of a run are and how long each figure is measured. */
enum Scale {
  /** Shows only that every slope runs; its figures mean nothing. */
  TINY(0.02, 1, 1),
  /** The sizes of the scale target. */
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

  /** Returns the size to use for a size of the target. */
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
