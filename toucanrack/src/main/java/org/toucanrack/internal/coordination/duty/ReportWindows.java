package org.toucanrack.internal.coordination.duty;

import java.time.Duration;

/**
 * The windows of true time in which usage is counted. Window k begins k lengths after the start of
 * 1970. Immutable and thread-safe.
 *
 * @param lengthNanos the length of a window
 */
public record ReportWindows(long lengthNanos) {

  /**
   * Number of windows for which counts and reports are kept. Reports of earlier windows are dropped
   * while the platform or the store is away, so that the state stays bounded.
   */
  public static final int MAX_WINDOWS = 12;

  /** Rejects an empty window. */
  public ReportWindows {
    if (lengthNanos <= 0) {
      throw new IllegalArgumentException("the length of a window is not positive");
    }
  }

  /** Returns the windows of a length. */
  public static ReportWindows of(Duration length) {
    return new ReportWindows(length.toNanos());
  }

  /** Returns the window of a true time in nanoseconds since 1970. */
  public long windowAt(long trueNanos) {
    return Math.floorDiv(trueNanos, lengthNanos);
  }

  /** Returns the true time at which a window ends. */
  public long endNanos(long window) {
    return (window + 1) * lengthNanos;
  }
}
