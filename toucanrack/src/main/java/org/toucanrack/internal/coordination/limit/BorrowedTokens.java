package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Borrowed tokens of one customer. Each loan ends a fixed time after it was requested; what is not
 * spent by then is lost. Guarded by the lock of its owner.
 */
final class BorrowedTokens {

  private static final class Loan {
    private final long expiresAtNanos;
    private double tokens;

    private Loan(double tokens, long expiresAtNanos) {
      this.tokens = tokens;
      this.expiresAtNanos = expiresAtNanos;
    }
  }

  private final Deque<Loan> loans = new ArrayDeque<>();

  /**
   * Adds a loan.
   *
   * @param requestedAtNanos monotonic time read before the request was sent
   */
  void add(double tokens, long requestedAtNanos, long nowNanos) {
    long expiresAtNanos = requestedAtNanos + EscrowAccount.LOAN_LIFETIME_NANOS;
    if (tokens > 0 && nowNanos - expiresAtNanos < 0) {
      loans.addLast(new Loan(tokens, expiresAtNanos));
    }
  }

  double available(long nowNanos) {
    loans.removeIf(loan -> nowNanos - loan.expiresAtNanos >= 0);
    double totalTokens = 0;
    for (Loan loan : loans) {
      totalTokens += loan.tokens;
    }
    return totalTokens;
  }

  /** Takes up to the wanted tokens, those that end first before others. */
  double spendUpTo(double requestedTokens, long nowNanos) {
    loans.removeIf(loan -> nowNanos - loan.expiresAtNanos >= 0);
    double remainingTokens = requestedTokens;
    while (remainingTokens > 0 && !loans.isEmpty()) {
      Loan loan = loans.peekFirst();
      double spentTokens = Math.min(remainingTokens, loan.tokens);
      loan.tokens -= spentTokens;
      remainingTokens -= spentTokens;
      if (loan.tokens <= 0) {
        loans.removeFirst();
      }
    }
    return requestedTokens - remainingTokens;
  }
}
