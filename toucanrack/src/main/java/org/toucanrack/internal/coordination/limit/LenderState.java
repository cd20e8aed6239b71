package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.TimeUnit;

/**
 * What a borrower knows about one giver: the outstanding call, and an estimate of what the giver
 * would lend. Guarded by the lock of its owner.
 */
final class LenderState {

  /** Time without an answer after which a call no longer counts as outstanding. */
  static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Pause after a call without an answer, so that an unreachable giver costs few tries. */
  static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private double estimatedTokens;
  private long estimatedAtNanos;
  private boolean hasEstimate;
  private boolean outstanding;
  private double requestedTokens;
  private long requestedAtNanos;
  private boolean paused;
  private long pausedUntilNanos;

  /** Returns the tokens that the giver would probably lend now; 0 if it must not be asked now. */
  double expectedLoanTokens(CustomerShare share, long nowNanos) {
    if (outstanding || isPaused(nowNanos)) {
      return 0;
    }
    double maxLoanTokens = share.burst() / 2;
    if (!hasEstimate) {
      return maxLoanTokens;
    }
    double accruedTokens = share.tokensPerSecond() * (nowNanos - estimatedAtNanos) / 1e9;
    return Math.min(maxLoanTokens, estimatedTokens + accruedTokens / 2);
  }

  void recordRequest(double tokens, long nowNanos) {
    outstanding = true;
    requestedTokens = tokens;
    requestedAtNanos = nowNanos;
  }

  /** Returns whether the answer belongs to the outstanding call; an older one only adds tokens. */
  boolean recordLoan(long callRequestedAtNanos, TokenLoan loan, long nowNanos) {
    if (!outstanding || requestedAtNanos != callRequestedAtNanos) {
      return false;
    }
    outstanding = false;
    hasEstimate = true;
    estimatedAtNanos = nowNanos;
    boolean lentAll = loan.tokens() >= requestedTokens;
    estimatedTokens = lentAll ? Math.max(estimatedTokens, requestedTokens) : loan.tokens() / 2;
    return true;
  }

  void recordFailure(long callRequestedAtNanos, long nowNanos) {
    if (outstanding && requestedAtNanos == callRequestedAtNanos) {
      outstanding = false;
      paused = true;
      pausedUntilNanos = nowNanos + FAILURE_PAUSE_NANOS;
    }
  }

  void expireCall(long nowNanos) {
    if (outstanding && nowNanos - requestedAtNanos >= CALL_TIMEOUT_NANOS) {
      recordFailure(requestedAtNanos, nowNanos);
    }
  }

  double pendingTokens() {
    return outstanding ? requestedTokens : 0;
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
