package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.TimeUnit;

/**
 * A borrower's state of one lender: the outstanding call, and an estimate of the tokens that the
 * lender would lend. Guarded by the lock of {@link CustomerTokens}.
 */
final class LenderState {

  /**
   * Time without an answer after which the tokens of a call are requested from other lenders as
   * well. The answer still counts: on a busy machine, a lender that works takes longer than this
   * now and then.
   */
  static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Time without an answer after which a call has failed. A loan ends 200 ms after its request, so
   * that a later answer leaves little time to spend it.
   */
  static final long CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Pause after a call without an answer, so that few calls go to an unreachable lender. */
  static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private double estimatedTokens;
  private long estimatedAtNanos;
  private boolean hasEstimate;
  private boolean outstanding;
  private double requestedTokens;
  private long requestedAtNanos;
  private boolean paused;
  private long pausedUntilNanos;

  /**
   * Returns the tokens that the lender would probably lend now; 0 while a call is outstanding or
   * the lender is paused after a failure.
   */
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

  /**
   * Updates the estimate from the answer to the outstanding call. Returns false for an answer to an
   * earlier call, which has no effect here.
   */
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

  /** Returns the tokens that are expected from a call that is not overdue. */
  double pendingTokens(long nowNanos) {
    return outstanding && nowNanos - requestedAtNanos < OVERDUE_NANOS ? requestedTokens : 0;
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
