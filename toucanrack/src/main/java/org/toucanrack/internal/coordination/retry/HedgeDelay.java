package org.toucanrack.internal.coordination.retry;

import java.util.OptionalLong;

/**
 * Estimates the 95th percentile of the latency of one route, after which a hedged read starts. Each
 * slower sample raises the estimate and each faster one lowers it, with steps in the ratio 95 to 5;
 * this needs constant memory. Thread-safe.
 */
public final class HedgeDelay {

  private static final int MIN_SAMPLES = 20;
  private static final double QUANTILE = 0.95;
  private static final double STEP_FRACTION = 0.05;
  private static final double MIN_DELAY_NANOS = 2_000_000;

  private double estimateNanos;
  private int samples;

  /** Records the latency of an attempt that was answered. */
  public synchronized void record(long latencyNanos) {
    samples = Math.min(samples + 1, MIN_SAMPLES);
    if (estimateNanos == 0) {
      estimateNanos = Math.max(MIN_DELAY_NANOS, latencyNanos);
    } else if (latencyNanos > estimateNanos) {
      estimateNanos *= 1 + STEP_FRACTION * QUANTILE;
    } else {
      estimateNanos =
          Math.max(MIN_DELAY_NANOS, estimateNanos * (1 - STEP_FRACTION * (1 - QUANTILE)));
    }
  }

  /** Returns the delay, or empty while there are too few samples. */
  public synchronized OptionalLong delayNanos() {
    return samples < MIN_SAMPLES ? OptionalLong.empty() : OptionalLong.of((long) estimateNanos);
  }
}
