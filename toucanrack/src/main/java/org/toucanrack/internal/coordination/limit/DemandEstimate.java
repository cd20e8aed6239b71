package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.TimeUnit;

/** Exponentially decaying estimate of a customer's requests per second on this VM. */
final class DemandEstimate {

  private static final double TIME_CONSTANT_SECONDS = 0.25;

  private double count;
  private long updatedNanos;

  void arrived(long nowNanos) {
    decay(nowNanos);
    count += 1;
  }

  double requestsPerSecond(long nowNanos) {
    decay(nowNanos);
    return count / TIME_CONSTANT_SECONDS;
  }

  private void decay(long nowNanos) {
    long elapsed = nowNanos - updatedNanos;
    if (elapsed > 0) {
      double seconds = elapsed / (double) TimeUnit.SECONDS.toNanos(1);
      count *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
      updatedNanos = nowNanos;
    }
  }
}
