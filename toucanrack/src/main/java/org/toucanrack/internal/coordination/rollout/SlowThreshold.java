package org.toucanrack.internal.coordination.rollout;

/**
 * Estimates the latency above which an answer counts as slow, from answers of the current version.
 * Not thread-safe.
 */
final class SlowThreshold {

  /** Number of answers of the current version before the estimate is used. */
  private static final int MIN_ANSWERS = 30;

  private static final double QUANTILE = 0.9;

  /** Answers above the quantile times this factor are slow; smaller differences are no fault. */
  private static final double SLOW_FACTOR = 1.5;

  private static final double STEP_SIZE = 0.05;

  private double logQuantile;
  private int answers;

  /** Updates the estimate by stochastic approximation of the quantile of the log latency. */
  void update(long latencyNanos) {
    double value = Math.log(Math.max(1, latencyNanos));
    if (answers == 0) {
      logQuantile = value;
    }
    logQuantile += STEP_SIZE * (value > logQuantile ? QUANTILE : QUANTILE - 1);
    answers++;
  }

  boolean isCalibrated() {
    return answers >= MIN_ANSWERS;
  }

  boolean isSlow(long latencyNanos) {
    return isCalibrated() && latencyNanos > Math.exp(logQuantile) * SLOW_FACTOR;
  }
}
