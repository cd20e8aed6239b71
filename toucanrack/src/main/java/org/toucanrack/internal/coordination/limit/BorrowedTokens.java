package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tokens of one customer that were borrowed from other VMs. A loan expires a fixed time after its
 * request was sent; unspent tokens are then discarded. Guarded by the lock of {@link
 * CustomerTokens}.
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
   * Adds a loan unless it has already expired.
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

  /** Spends up to {@code requestedTokens}, oldest loan first; returns the number spent. */
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
