package org.toucanrack.internal.coordination.control;

/** Remembers whether the table service answered lately. Used by the control loop only. */
final class StoreReachability {

  private boolean attempted;
  private boolean lastAnswered;
  private long lastStartedNanos;

  void recordAttempt(boolean answered, long startedAtNanos) {
    if (!attempted || startedAtNanos - lastStartedNanos >= 0) {
      attempted = true;
      lastAnswered = answered;
      lastStartedNanos = startedAtNanos;
    }
  }

  /** Returns whether the newest attempt that has an outcome was answered. */
  boolean isReachable() {
    return attempted && lastAnswered;
  }

  /** Returns whether the newest attempt that has an outcome failed. */
  boolean hasFailed() {
    return attempted && !lastAnswered;
  }
}
