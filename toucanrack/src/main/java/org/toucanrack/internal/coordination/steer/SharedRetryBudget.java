package org.toucanrack.internal.coordination.steer;

import java.time.Duration;

/**
 * Limits the extra attempts of one service on this VM, so that those of all VMs together stay
 * within the shared budget.
 *
 * <p>Each VM applies the ratio to its own requests and uses an equal part of the reserve.
 * Invariant: extra attempts within a window never exceed {@code ratio x requests + reserve part}.
 * Not thread-safe.
 */
public final class SharedRetryBudget {

  /**
   * Fraction of the allowed ratio that is used; the rest is a margin for windows that are aligned
   * differently.
   */
  private static final double USED_RATIO_FRACTION = 0.8;

  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter extraAttempts;
  private final double ratio;
  private final double reserve;

  /**
   * Creates a budget.
   *
   * @param ratio extra attempts per request over all VMs
   * @param reserve extra attempts allowed in a window on top of the ratio, over all VMs
   */
  public SharedRetryBudget(double ratio, double reserve, Duration window) {
    this.ratio = ratio * USED_RATIO_FRACTION;
    this.reserve = reserve;
    requests = new SlidingWindowCounter(window.toNanos());
    extraAttempts = new SlidingWindowCounter(window.toNanos());
  }

  /** Records a request, which adds to the budget. */
  public void recordRequest(long nowNanos) {
    requests.record(nowNanos);
  }

  /**
   * Takes an extra attempt from the budget.
   *
   * @param vmCount the number of VMs that share the reserve
   * @return whether the budget allows it
   */
  public boolean tryAcquire(long nowNanos, int vmCount) {
    double allowed = ratio * requests.count(nowNanos) + Math.floor(reserve / Math.max(1, vmCount));
    if (extraAttempts.count(nowNanos) + 1 > allowed) {
      return false;
    }
    extraAttempts.record(nowNanos);
    return true;
  }
}
