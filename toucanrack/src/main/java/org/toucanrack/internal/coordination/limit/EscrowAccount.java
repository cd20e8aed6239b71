package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * One share of a customer's rate: a token bucket from which tokens are spent here or lent to other
 * VMs.
 *
 * <p>Invariant: the tokens held plus the loans that borrowers may still spend never exceed the
 * share's burst, so that over all VMs at most rate x t + burst requests are admitted in any
 * interval t. Guarded by the lock of {@link CustomerTokens}.
 */
final class EscrowAccount {

  /** Time from the request for a loan until the borrower discards what it has not spent. */
  static final long LOAN_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Time for which a loan counts against the burst. Exceeds the lifetime by 1%, since the monotonic
   * clocks of two VMs may differ by up to 1% in rate.
   */
  static final long LOAN_RESERVATION_NANOS = LOAN_LIFETIME_NANOS / 100 * 101;

  /** Tolerance for rounding errors of fractional tokens. */
  static final double ROUNDING_TOKENS = 1e-6;

  private record Loan(double tokens, long expiresAtNanos) {}

  private final Deque<Loan> loans = new ArrayDeque<>();
  private double tokensPerSecond;
  private double burst;
  private double tokens;
  private double lentTokens;
  private long accruedAtNanos;

  /**
   * Creates an empty account. The previous owner may have lent the whole burst just before, so the
   * account accrues nothing until such loans have expired.
   */
  EscrowAccount(double tokensPerSecond, double burst, long nowNanos) {
    this.tokensPerSecond = tokensPerSecond;
    this.burst = burst;
    this.accruedAtNanos = nowNanos;
    addLoan(burst, nowNanos);
  }

  /** Changes the share; tokens above the new burst are discarded. */
  void configure(double newTokensPerSecond, double newBurst, long nowNanos) {
    accrue(nowNanos);
    tokensPerSecond = newTokensPerSecond;
    burst = newBurst;
    capTokens();
  }

  /** Lends up to the requested tokens, at most half of those held, and subtracts them at once. */
  double lend(double requestedTokens, long nowNanos) {
    accrue(nowNanos);
    double loanTokens = Math.max(0, Math.min(requestedTokens, tokens / 2));
    if (loanTokens > 0) {
      tokens -= loanTokens;
      addLoan(loanTokens, nowNanos);
    }
    return loanTokens;
  }

  /**
   * Subtracts up to the requested tokens, which the caller spends at once, and returns their
   * number.
   */
  double spendUpTo(double requestedTokens, long nowNanos) {
    accrue(nowNanos);
    double spentTokens = Math.min(requestedTokens, tokens);
    tokens -= spentTokens;
    return spentTokens;
  }

  double available(long nowNanos) {
    accrue(nowNanos);
    return tokens;
  }

  private void accrue(long nowNanos) {
    while (!loans.isEmpty() && nowNanos - loans.peekFirst().expiresAtNanos() >= 0) {
      accrueUntil(loans.peekFirst().expiresAtNanos());
      lentTokens -= loans.removeFirst().tokens();
    }
    accrueUntil(nowNanos);
  }

  /** Has no effect for times before the last accrual; another thread may have read a later one. */
  private void accrueUntil(long timeNanos) {
    long elapsedNanos = timeNanos - accruedAtNanos;
    if (elapsedNanos > 0) {
      tokens += tokensPerSecond * elapsedNanos / 1e9;
      accruedAtNanos = timeNanos;
      capTokens();
    }
  }

  private void capTokens() {
    double outstandingTokens = loans.isEmpty() ? 0 : lentTokens;
    tokens = Math.max(0, Math.min(tokens, burst - outstandingTokens));
  }

  private void addLoan(double amount, long nowNanos) {
    if (loans.isEmpty()) {
      lentTokens = 0;
    }
    loans.addLast(new Loan(amount, nowNanos + LOAN_RESERVATION_NANOS));
    lentTokens += amount;
  }
}
