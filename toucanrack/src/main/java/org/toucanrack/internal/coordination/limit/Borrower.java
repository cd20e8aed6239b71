package org.toucanrack.internal.coordination.limit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.id.Incarnation;

/**
 * Plans which lenders are sent requests for tokens of one customer, and for how many.
 *
 * <p>Invariant: at most one call is outstanding per lender. Guarded by the lock of {@link
 * CustomerTokens}.
 */
final class Borrower {

  /** Calls that may be outstanding at the same time for one customer. */
  static final int MAX_PARALLEL_CALLS = 6;

  /**
   * A request is sent only if the lender can be expected to lend what its share accrues in this
   * time; this limits the number of messages.
   */
  private static final double MIN_REQUEST_SECONDS = 0.02;

  private static final double MIN_REQUEST_TOKENS = 0.05;

  /** One token request to a lender. Immutable and thread-safe. */
  record Call(Incarnation lender, double tokens, long requestedAtNanos) {}

  private final Map<Incarnation, LenderState> lenders = new LinkedHashMap<>();
  private CustomerShare share;

  Borrower(CustomerShare share) {
    configure(share);
  }

  void configure(CustomerShare newShare) {
    Map<Incarnation, LenderState> previous = Map.copyOf(lenders);
    lenders.clear();
    for (Incarnation lender : newShare.lenders()) {
      lenders.put(lender, previous.getOrDefault(lender, new LenderState()));
    }
    share = newShare;
  }

  /** Plans calls for the missing tokens, in the order of the lenders, and marks them as sent. */
  List<Call> planCalls(double missingTokens, int maxCalls, long nowNanos) {
    List<Call> calls = new ArrayList<>();
    double remainingTokens = missingTokens;
    int freeCalls = Math.min(maxCalls, MAX_PARALLEL_CALLS - outstandingCalls());
    for (Map.Entry<Incarnation, LenderState> entry : lenders.entrySet()) {
      if (remainingTokens <= 0 || calls.size() >= freeCalls) {
        break;
      }
      double expectedTokens = entry.getValue().expectedLoanTokens(share, nowNanos);
      if (expectedTokens >= minRequestTokens()) {
        double tokens = Math.min(remainingTokens, expectedTokens);
        remainingTokens -= tokens;
        entry.getValue().recordRequest(tokens, nowNanos);
        calls.add(new Call(entry.getKey(), tokens, nowNanos));
      }
    }
    return calls;
  }

  void recordLoan(Call call, TokenLoan loan, long nowNanos) {
    LenderState lender = lenders.get(call.lender());
    if (lender != null) {
      lender.recordLoan(call.requestedAtNanos(), loan, nowNanos);
    }
  }

  void recordFailure(Call call, long nowNanos) {
    LenderState lender = lenders.get(call.lender());
    if (lender != null) {
      lender.recordFailure(call.requestedAtNanos(), nowNanos);
    }
  }

  void expireCalls(long nowNanos) {
    lenders.values().forEach(lender -> lender.expireCall(nowNanos));
  }

  /** Returns the tokens that are expected from calls that are not overdue. */
  double pendingTokens(long nowNanos) {
    return lenders.values().stream().mapToDouble(lender -> lender.pendingTokens(nowNanos)).sum();
  }

  boolean hasOutstandingCalls() {
    return outstandingCalls() > 0;
  }

  private int outstandingCalls() {
    return (int) lenders.values().stream().filter(LenderState::isOutstanding).count();
  }

  private double minRequestTokens() {
    double accrued = share.tokensPerSecond() * MIN_REQUEST_SECONDS;
    return Math.min(share.burst() / 4, Math.max(MIN_REQUEST_TOKENS, accrued));
  }
}
