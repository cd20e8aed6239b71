package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Borrowed tokens of one customer. Each loan ends a fixed time after it was requested; what is not
 * spent by then is lost. Guarded by the lock of its owner.
 */
final class BorrowedTokens {

  private static final class Loan {
    private final long endsNanos;
    private double tokens;

    private Loan(double tokens, long endsNanos) {
      this.tokens = tokens;
      this.endsNanos = endsNanos;
    }
  }

  private final Deque<Loan> loans = new ArrayDeque<>();

  /**
   * Adds a loan.
   *
   * @param requestedNanos monotonic time read before the request was sent
   */
  void add(double tokens, long requestedNanos, long nowNanos) {
    long endsNanos = requestedNanos + EscrowAccount.LOAN_LIFETIME_NANOS;
    if (tokens > 0 && nowNanos - endsNanos < 0) {
      loans.addLast(new Loan(tokens, endsNanos));
    }
  }

  double available(long nowNanos) {
    loans.removeIf(loan -> nowNanos - loan.endsNanos >= 0);
    double sum = 0;
    for (Loan loan : loans) {
      sum += loan.tokens;
    }
    return sum;
  }

  /** Takes up to the wanted tokens, those that end first before others. */
  double takeUpTo(double wanted, long nowNanos) {
    loans.removeIf(loan -> nowNanos - loan.endsNanos >= 0);
    double missing = wanted;
    while (missing > 0 && !loans.isEmpty()) {
      Loan loan = loans.peekFirst();
      double taken = Math.min(missing, loan.tokens);
      loan.tokens -= taken;
      missing -= taken;
      if (loan.tokens <= 0) {
        loans.removeFirst();
      }
    }
    return wanted - missing;
  }
}
