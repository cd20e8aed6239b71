package org.toucanrack.standin.platform;

import java.util.function.LongSupplier;

/**
 * A token bucket that limits calls per second. Its capacity is the number of calls allowed in one
 * second, but at least 1. Thread-safe.
 */
final class CallRateLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double callsPerSecond;
  private final LongSupplier nanoTime;
  private double tokens;
  private long lastRefillNanos;

  /** Creates a limit that starts with a full bucket; a rate of 0 allows all calls. */
  CallRateLimit(double callsPerSecond, LongSupplier nanoTime) {
    this.callsPerSecond = callsPerSecond;
    this.nanoTime = nanoTime;
    this.tokens = Math.max(1, callsPerSecond);
    this.lastRefillNanos = nanoTime.getAsLong();
  }

  synchronized boolean tryAcquire() {
    if (callsPerSecond <= 0) {
      return true;
    }
    long nowNanos = nanoTime.getAsLong();
    double refill = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * callsPerSecond;
    tokens = Math.min(Math.max(1, callsPerSecond), tokens + refill);
    lastRefillNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
