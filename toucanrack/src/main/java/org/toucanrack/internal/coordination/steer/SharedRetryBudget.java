package org.toucanrack.internal.coordination.steer;

import java.time.Duration;

/**
 * Bounds the extra attempts of one service on this VM, so that those of all VMs together stay
 * within the shared budget.
 *
 * <p>Each VM uses its own requests as the base and an equal part of the reserve. Invariant: extra
 * attempts within a window never exceed {@code ratio x requests + reserve part}. Not thread-safe.
 */
public final class SharedRetryBudget {

  /** Part of the allowed ratio that is used; the rest covers windows that are cut differently. */
  private static final double USED_RATIO_FRACTION = 0.8;

  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter extraAttempts;
  private final double ratio;
  private final double reserve;

  /**
   * Creates an allowance.
   *
   * @param ratio extra attempts per request over all VMs
   * @param reserve extra attempts of a window beyond the ratio, over all VMs
   */
  public SharedRetryBudget(double ratio, double reserve, Duration window) {
    this.ratio = ratio * USED_RATIO_FRACTION;
    this.reserve = reserve;
    requests = new SlidingWindowCounter(window.toNanos());
    extraAttempts = new SlidingWindowCounter(window.toNanos());
  }

  /** Counts a request. */
  public void recordRequest(long nowNanos) {
    requests.record(nowNanos);
  }

  /**
   * Takes an extra attempt if there is one.
   *
   * @param vms the number of VMs that share the reserve
   */
  public boolean tryAcquire(long nowNanos, int vms) {
    double allowed = ratio * requests.count(nowNanos) + Math.floor(reserve / Math.max(1, vms));
    if (extraAttempts.count(nowNanos) + 1 > allowed) {
      return false;
    }
    extraAttempts.record(nowNanos);
    return true;
  }
}
