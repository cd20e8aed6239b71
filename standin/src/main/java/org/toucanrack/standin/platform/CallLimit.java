package org.toucanrack.standin.platform;

import java.util.function.LongSupplier;

/**
 * Allows a number of calls a second with a burst of one second's worth, at least 1. Thread-safe.
 */
final class CallLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double callsPerSecond;
  private final LongSupplier nanoTime;
  private double tokens;
  private long lastNanos;

  /** Creates a limit; a rate of 0 allows all calls. */
  CallLimit(double callsPerSecond, LongSupplier nanoTime) {
    this.callsPerSecond = callsPerSecond;
    this.nanoTime = nanoTime;
    this.tokens = Math.max(1, callsPerSecond);
    this.lastNanos = nanoTime.getAsLong();
  }

  synchronized boolean allows() {
    if (callsPerSecond <= 0) {
      return true;
    }
    long now = nanoTime.getAsLong();
    double gained = (now - lastNanos) / NANOS_PER_SECOND * callsPerSecond;
    tokens = Math.min(Math.max(1, callsPerSecond), tokens + gained);
    lastNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
