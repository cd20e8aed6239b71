package org.toucanrack.internal.coordination.retry;

/**
 * Bounds the extra attempts of one service by a fraction of its first attempts, so that retries and
 * hedges cannot multiply an overload.
 *
 * <p>Invariant: extra attempts never exceed {@code RESERVE_ATTEMPTS + extraPerFirstAttempt x first
 * attempts}. Thread-safe.
 */
public final class RetryBudget {

  /** Extra attempts available to a service with little traffic. */
  static final double RESERVE_ATTEMPTS = 10;

  private static final double MAX_AVAILABLE_ATTEMPTS = 100;

  private final double extraPerFirstAttempt;
  private double availableAttempts = RESERVE_ATTEMPTS;

  /** Creates a budget of {@code extraPerFirstAttempt} extra attempts for each first one. */
  public RetryBudget(double extraPerFirstAttempt) {
    this.extraPerFirstAttempt = extraPerFirstAttempt;
  }

  /** Records a first attempt, which adds to the budget. */
  public synchronized void recordFirstAttempt() {
    availableAttempts = Math.min(MAX_AVAILABLE_ATTEMPTS, availableAttempts + extraPerFirstAttempt);
  }

  /** Takes one extra attempt from the budget; returns false if none is available. */
  public synchronized boolean tryAcquireExtraAttempt() {
    if (availableAttempts < 1) {
      return false;
    }
    availableAttempts -= 1;
    return true;
  }
}
