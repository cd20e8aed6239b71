package org.toucanrack.internal.coordination.control;

/** Remembers whether the table service answered lately. Used by the control loop only. */
final class StoreReach {

  private boolean known;
  private boolean reached;
  private long lastStartedAtNanos;

  void attempted(boolean answered, long startedAtNanos) {
    if (!known || startedAtNanos - lastStartedAtNanos >= 0) {
      known = true;
      reached = answered;
      lastStartedAtNanos = startedAtNanos;
    }
  }

  /** Returns whether the newest attempt that has an outcome was answered. */
  boolean isReached() {
    return known && reached;
  }

  /** Returns whether the newest attempt that has an outcome failed. */
  boolean hasFailed() {
    return known && !reached;
  }
}
