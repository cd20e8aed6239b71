package org.toucanrack.internal.coordination.limit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.id.Incarnation;

/**
 * Decides which givers to ask for how many tokens of one customer.
 *
 * <p>Invariant: at most one call is outstanding per giver. Guarded by the lock of its owner.
 */
final class Borrower {

  /** Calls that may be outstanding at the same time for one customer. */
  static final int MAX_PARALLEL_CALLS = 6;

  /** A giver is asked for at least what its share accrues in this time, to limit messages. */
  private static final double MIN_ASK_SECONDS = 0.02;

  private static final double MIN_ASK_TOKENS = 0.05;

  /** One request to send. Immutable. */
  record Call(Incarnation giver, double tokens, long askedNanos) {}

  private final Map<Incarnation, GiverState> givers = new LinkedHashMap<>();
  private CustomerShare share;

  Borrower(CustomerShare share) {
    configure(share);
  }

  void configure(CustomerShare newShare) {
    Map<Incarnation, GiverState> previous = Map.copyOf(givers);
    givers.clear();
    for (Incarnation giver : newShare.givers()) {
      givers.put(giver, previous.getOrDefault(giver, new GiverState()));
    }
    share = newShare;
  }

  /** Plans calls for the missing tokens, in the order of the givers, and marks them as sent. */
  List<Call> plan(double missing, int maxCalls, long nowNanos) {
    List<Call> calls = new ArrayList<>();
    double left = missing;
    int free = Math.min(maxCalls, MAX_PARALLEL_CALLS - outstandingCalls());
    for (Map.Entry<Incarnation, GiverState> entry : givers.entrySet()) {
      if (left <= 0 || calls.size() >= free) {
        break;
      }
      double expected = entry.getValue().expected(share, nowNanos);
      if (expected >= minAsk()) {
        double tokens = Math.min(left, expected);
        left -= tokens;
        entry.getValue().ask(tokens, nowNanos);
        calls.add(new Call(entry.getKey(), tokens, nowNanos));
      }
    }
    return calls;
  }

  void answered(Call call, TokenLoan loan, long nowNanos) {
    GiverState giver = givers.get(call.giver());
    if (giver != null) {
      giver.answered(call.askedNanos(), loan, nowNanos);
    }
  }

  void failed(Call call, long nowNanos) {
    GiverState giver = givers.get(call.giver());
    if (giver != null) {
      giver.failed(call.askedNanos(), nowNanos);
    }
  }

  void expire(long nowNanos) {
    givers.values().forEach(giver -> giver.expire(nowNanos));
  }

  double pendingTokens() {
    return givers.values().stream().mapToDouble(GiverState::pendingTokens).sum();
  }

  boolean hasOutstandingCalls() {
    return outstandingCalls() > 0;
  }

  private int outstandingCalls() {
    return (int) givers.values().stream().filter(GiverState::isOutstanding).count();
  }

  private double minAsk() {
    double accrued = share.tokensPerSecond() * MIN_ASK_SECONDS;
    return Math.min(share.burst() / 4, Math.max(MIN_ASK_TOKENS, accrued));
  }
}
