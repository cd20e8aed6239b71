package org.toucanrack.bench.load;

/** A token bucket that is full at the start and is driven by a given time. Not thread-safe. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double tokensPerSecond;
  private final double burst;
  private double tokens;
  private long lastNanos;

  TokenBucket(double tokensPerSecond, double burst, long nowNanos) {
    this.tokensPerSecond = tokensPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastNanos = nowNanos;
  }

  boolean tryTake(long nowNanos) {
    tokens = Math.min(burst, tokens + (nowNanos - lastNanos) / NANOS_PER_SECOND * tokensPerSecond);
    lastNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
