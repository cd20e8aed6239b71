package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.TimeUnit;

/**
 * What a borrower knows about one giver: the outstanding call, and an estimate of what the giver
 * would lend. Guarded by the lock of its owner.
 */
final class GiverState {

  /** Time without an answer after which a call no longer counts as outstanding. */
  static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Pause after a call without an answer, so that an unreachable giver costs few tries. */
  static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private double estimate;
  private long estimatedNanos;
  private boolean estimated;
  private boolean outstanding;
  private double asked;
  private long askedNanos;
  private boolean paused;
  private long pausedUntilNanos;

  /** Returns the tokens that the giver would probably lend now; 0 if it must not be asked now. */
  double expected(CustomerShare share, long nowNanos) {
    if (outstanding || isPaused(nowNanos)) {
      return 0;
    }
    double most = share.burst() / 2;
    if (!estimated) {
      return most;
    }
    double accrued = share.tokensPerSecond() * (nowNanos - estimatedNanos) / 1e9;
    return Math.min(most, estimate + accrued / 2);
  }

  void ask(double tokens, long nowNanos) {
    outstanding = true;
    asked = tokens;
    askedNanos = nowNanos;
  }

  /** Returns whether the answer belongs to the outstanding call; an older one only adds tokens. */
  boolean answered(long callNanos, TokenLoan loan, long nowNanos) {
    if (!outstanding || askedNanos != callNanos) {
      return false;
    }
    outstanding = false;
    estimated = true;
    estimatedNanos = nowNanos;
    boolean lentAll = loan.tokens() >= asked;
    estimate = lentAll ? Math.max(estimate, asked) : loan.tokens() / 2;
    return true;
  }

  void failed(long callNanos, long nowNanos) {
    if (outstanding && askedNanos == callNanos) {
      outstanding = false;
      paused = true;
      pausedUntilNanos = nowNanos + FAILURE_PAUSE_NANOS;
    }
  }

  void expire(long nowNanos) {
    if (outstanding && nowNanos - askedNanos >= CALL_TIMEOUT_NANOS) {
      failed(askedNanos, nowNanos);
    }
  }

  double pendingTokens() {
    return outstanding ? asked : 0;
  }

  boolean isOutstanding() {
    return outstanding;
  }

  private boolean isPaused(long nowNanos) {
    if (paused && nowNanos - pausedUntilNanos >= 0) {
      paused = false;
    }
    return paused;
  }
}
