package org.toucanrack.internal.coordination.steer;

import java.time.Duration;

/**
 * Limits the extra attempts of one service on this VM, so that those of all VMs together stay
 * within the shared budget.
 *
 * <p>Each VM applies the ratio to its own requests and takes further attempts from its part of the
 * reserve. Invariant: extra attempts within a window never exceed {@code ratio x requests +
 * attempts taken from the reserve}. Not thread-safe.
 */
public final class SharedRetryBudget {

  /**
   * Fraction of the allowed ratio that is used; the rest is a margin for windows that are aligned
   * differently.
   */
  private static final double USED_RATIO_FRACTION = 0.8;

  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter attemptsWithinRatio;
  private final double ratio;
  private final RetryReserve reserve;

  /**
   * Creates a budget.
   *
   * @param ratio extra attempts per request over all VMs
   * @param window the sliding window of the ratio
   * @param reserve this VM's part of the extra attempts allowed on top of the ratio
   */
  public SharedRetryBudget(double ratio, Duration window, RetryReserve reserve) {
    this.ratio = ratio * USED_RATIO_FRACTION;
    this.reserve = reserve;
    requests = new SlidingWindowCounter(window.toNanos());
    attemptsWithinRatio = new SlidingWindowCounter(window.toNanos());
  }

  /** Returns this VM's part of the reserve. */
  public RetryReserve reserve() {
    return reserve;
  }

  /** Records a request, which adds to the budget. */
  public void recordRequest(long nowNanos) {
    requests.record(nowNanos);
  }

  /** Takes an extra attempt from the budget; returns whether the budget allows it. */
  public boolean tryAcquire(long nowNanos) {
    if (attemptsWithinRatio.count(nowNanos) + 1 <= ratio * requests.count(nowNanos)) {
      attemptsWithinRatio.record(nowNanos);
      return true;
    }
    return reserve.tryTake(nowNanos);
  }
}
