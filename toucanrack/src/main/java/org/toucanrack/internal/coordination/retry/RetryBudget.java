package org.toucanrack.internal.coordination.retry;

/**
 * Bounds the extra attempts of one service by a fraction of its first attempts, so that retries and
 * hedges cannot multiply an overload.
 *
 * <p>Invariant: extra attempts never exceed {@code RESERVE + fraction x first attempts}.
 * Thread-safe.
 */
public final class RetryBudget {

  /** Extra attempts available to a service with little traffic. */
  static final double RESERVE = 10;

  private static final double MAX_SAVED = 100;

  private final double fraction;
  private double available = RESERVE;

  /** Creates a budget of {@code fraction} extra attempts for each first one. */
  public RetryBudget(double fraction) {
    this.fraction = fraction;
  }

  /** Counts a first attempt. */
  public synchronized void firstAttempt() {
    available = Math.min(MAX_SAVED, available + fraction);
  }

  /** Takes one extra attempt, if there is one. */
  public synchronized boolean tryExtraAttempt() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
