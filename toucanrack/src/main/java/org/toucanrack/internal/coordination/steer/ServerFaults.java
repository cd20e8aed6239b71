package org.toucanrack.internal.coordination.steer;

import java.util.concurrent.TimeUnit;

/**
 * Moving averages of a server's failures, refusals and slowness. They decay over time, since an
 * avoided server gets no requests whose answers could show its recovery. Not thread-safe.
 */
final class ServerFaults {

  /** Weight of the newest observation in the moving averages of failures and refusals. */
  private static final double FAULT_SMOOTHING_FACTOR = 0.15;

  /** Weight of the newest answer in the moving average of slowness. */
  private static final double SLOWNESS_SMOOTHING_FACTOR = 0.25;

  /** Upper bound on the slowness inferred from a single answer. */
  private static final double MAX_SLOWNESS = 8;

  /** Time constant after which a server avoided for faults or slowness is tried again. */
  private static final double FAULT_DECAY_NANOS = TimeUnit.SECONDS.toNanos(8);

  private double slowness = 1;
  private double failureRate;
  private double refusalRate;
  private long updatedNanos;

  ServerFaults(long nowNanos) {
    this.updatedNanos = nowNanos;
  }

  void recordAnswer(boolean succeeded, long nowNanos) {
    decay(nowNanos);
    failureRate += FAULT_SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - failureRate);
    refusalRate -= FAULT_SMOOTHING_FACTOR * refusalRate;
  }

  /**
   * Records the service time of an answer that was just recorded.
   *
   * @param relativeServiceTime service time relative to that of the whole service
   */
  void recordServiceTime(double relativeServiceTime) {
    slowness +=
        SLOWNESS_SMOOTHING_FACTOR * (Math.min(MAX_SLOWNESS, relativeServiceTime) - slowness);
  }

  void recordRefusal(long nowNanos) {
    decay(nowNanos);
    refusalRate += FAULT_SMOOTHING_FACTOR * (1 - refusalRate);
  }

  void recordFailure(long nowNanos) {
    decay(nowNanos);
    failureRate += FAULT_SMOOTHING_FACTOR * (1 - failureRate);
  }

  /** Returns the ratio of the service time of this server to that of the whole service. */
  double slowness(long nowNanos) {
    return 1 + (slowness - 1) * decayFactor(nowNanos);
  }

  /** Returns the share of recent attempts that failed or were refused, from 0 to 1. */
  double rate(long nowNanos) {
    return Math.max(failureRate, refusalRate) * decayFactor(nowNanos);
  }

  private double decayFactor(long nowNanos) {
    return Math.exp(-(nowNanos - updatedNanos) / FAULT_DECAY_NANOS);
  }

  private void decay(long nowNanos) {
    double factor = decayFactor(nowNanos);
    slowness = 1 + (slowness - 1) * factor;
    failureRate *= factor;
    refusalRate *= factor;
    updatedNanos = nowNanos;
  }
}
