package org.toucanrack.bench.load;

/** A token bucket on a given clock. Not thread-safe. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private final double burst;
  private double tokens;
  private long lastNanos;

  TokenBucket(double perSecond, double burst, long nowNanos) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastNanos = nowNanos;
  }

  boolean take(long nowNanos) {
    tokens = Math.min(burst, tokens + (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond);
    lastNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
