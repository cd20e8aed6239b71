package org.toucanrack.internal.coordination.dispatch;

/**
 * Estimates the service time of requests at backend servers from a moving mean and mean deviation.
 * Guarded by the dispatcher's lock.
 */
final class ServiceTimeEstimate {

  private static final double MEAN_GAIN = 1.0 / 16;
  private static final double DEVIATION_GAIN = 1.0 / 8;

  /** Deviations above the mean that cover about 95% of the requests. */
  private static final double COVERED_DEVIATIONS = 2;

  private double meanNanos;
  private double deviationNanos;

  void observe(long serviceTimeNanos) {
    if (meanNanos == 0) {
      meanNanos = serviceTimeNanos;
      return;
    }
    double errorNanos = serviceTimeNanos - meanNanos;
    meanNanos += MEAN_GAIN * errorNanos;
    deviationNanos += DEVIATION_GAIN * (Math.abs(errorNanos) - deviationNanos);
  }

  /**
   * Returns a service time that about 95% of requests stay below; 0 before the first observation.
   */
  long upperEstimateNanos() {
    return (long) (meanNanos + COVERED_DEVIATIONS * deviationNanos);
  }

  /** Returns the expected wait behind the queued requests; 0 without slots. */
  long waitNanos(int queued, int slots) {
    return slots == 0 ? 0 : (long) (meanNanos * queued / slots);
  }
}
