package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.TimeUnit;

/**
 * Exponentially decaying estimate of a customer's requests per second on this VM. Guarded by the
 * lock of {@link CustomerTokens}.
 */
final class DemandEstimate {

  private static final double TIME_CONSTANT_SECONDS = 0.25;

  private double decayedCount;
  private long updatedNanos;

  void recordArrival(long nowNanos) {
    decay(nowNanos);
    decayedCount += 1;
  }

  double requestsPerSecond(long nowNanos) {
    decay(nowNanos);
    return decayedCount / TIME_CONSTANT_SECONDS;
  }

  private void decay(long nowNanos) {
    long elapsedNanos = nowNanos - updatedNanos;
    if (elapsedNanos > 0) {
      double seconds = elapsedNanos / (double) TimeUnit.SECONDS.toNanos(1);
      decayedCount *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
      updatedNanos = nowNanos;
    }
  }
}
