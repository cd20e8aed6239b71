package org.toucanrack.internal.coordination.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Observed health of one backend server: errors, outlier ejection and the allowed concurrency.
 * Guarded by the dispatcher's lock.
 */
final class ServerHealth {

  /** Consecutive failures at which a server is an outlier. */
  static final int EJECTION_FAILURES = 5;

  static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
  static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time over which concurrency rises from 1 to its full value after a cold start or ejection. */
  static final long SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time over which a concurrency that was lowered by a refusal returns to its full value. */
  static final long REFUSAL_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Smoothed error rate above which a server is an outlier, once enough outcomes were observed. */
  private static final double EJECTION_ERROR_RATE = 0.5;

  private static final int EJECTION_MIN_OUTCOMES = 10;
  private static final double ERROR_RATE_GAIN = 0.1;
  private static final double REFUSAL_CONCURRENCY_FACTOR = 0.5;

  private double errorRate;
  private int outcomes;
  private int consecutiveFailures;
  private int ejections;
  private boolean ejected;
  private long ejectedUntilNanos;
  private boolean rampStarted;
  private long rampFromNanos;
  private boolean refused;
  private double refusalFactor = 1;
  private long refusedAtNanos;

  void startRamp(long fromNanos) {
    rampStarted = true;
    rampFromNanos = fromNanos;
  }

  /** Records an outcome. */
  void observe(SlotOutcome outcome, long nowNanos) {
    switch (outcome) {
      case SUCCEEDED -> recordSuccess();
      case FAILED, TIMED_OUT -> recordFailure();
      case UNREACHABLE -> {
        recordFailure();
        recordRefusal(nowNanos);
      }
      case SHED -> recordRefusal(nowNanos);
      default -> {
        // A cancelled request says nothing about the server.
      }
    }
  }

  boolean isOutlier() {
    return consecutiveFailures >= EJECTION_FAILURES
        || (outcomes >= EJECTION_MIN_OUTCOMES && errorRate > EJECTION_ERROR_RATE);
  }

  void eject(long nowNanos) {
    long durationNanos = FIRST_EJECTION_NANOS << Math.min(ejections, 10);
    ejectedUntilNanos = nowNanos + Math.min(durationNanos, MAX_EJECTION_NANOS);
    ejected = true;
    ejections++;
    consecutiveFailures = 0;
    outcomes = 0;
    errorRate = 0;
    startRamp(ejectedUntilNanos);
  }

  boolean isEjected(long nowNanos) {
    if (ejected && nowNanos - ejectedUntilNanos >= 0) {
      ejected = false;
    }
    return ejected;
  }

  double errorRate() {
    return errorRate;
  }

  /** Returns the concurrency allowed now, at least 1 of a positive limit. */
  int allowedConcurrency(int limit, long nowNanos) {
    double concurrencyFraction = Math.min(rampFraction(nowNanos), refusalFraction(nowNanos));
    return Math.min(limit, Math.max(1, (int) Math.floor(limit * concurrencyFraction)));
  }

  private void recordSuccess() {
    consecutiveFailures = 0;
    if (outcomes >= EJECTION_MIN_OUTCOMES) {
      ejections = 0;
    }
    updateErrorRate(0);
  }

  private void recordFailure() {
    consecutiveFailures++;
    updateErrorRate(1);
  }

  private void updateErrorRate(double error) {
    outcomes++;
    errorRate += ERROR_RATE_GAIN * (error - errorRate);
  }

  private void recordRefusal(long nowNanos) {
    refusalFactor = refusalFraction(nowNanos) * REFUSAL_CONCURRENCY_FACTOR;
    refused = true;
    refusedAtNanos = nowNanos;
  }

  private double rampFraction(long nowNanos) {
    if (!rampStarted) {
      return 1;
    }
    long ageNanos = nowNanos - rampFromNanos;
    if (ageNanos >= SLOW_START_NANOS) {
      rampStarted = false;
      return 1;
    }
    return Math.max(0, ageNanos / (double) SLOW_START_NANOS);
  }

  private double refusalFraction(long nowNanos) {
    if (!refused) {
      return 1;
    }
    double recovered = (nowNanos - refusedAtNanos) / (double) REFUSAL_RECOVERY_NANOS;
    double concurrencyFraction = refusalFactor + (1 - refusalFactor) * recovered;
    if (concurrencyFraction >= 1) {
      refused = false;
      return 1;
    }
    return concurrencyFraction;
  }
}
