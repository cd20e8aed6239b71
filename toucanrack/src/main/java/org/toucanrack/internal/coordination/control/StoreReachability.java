package org.toucanrack.internal.coordination.control;

/**
 * Tracks whether the table service answered the most recent call that has an outcome. Confined to
 * the control thread.
 */
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

  /** Returns whether the most recently started call with an outcome was answered. */
  boolean isReachable() {
    return attempted && lastAnswered;
  }

  /** Returns whether the most recently started call with an outcome failed. */
  boolean hasFailed() {
    return attempted && !lastAnswered;
  }
}
