package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.toucanrack.id.CustomerId;

/**
 * Rate limiter of one customer on this VM. Spends tokens of the owned share and of loans; requests
 * without a token wait for loans. Thread-safe; calls to peers and completions run without the lock.
 */
final class CustomerTokens {

  /**
   * Longest time that a request waits for borrowed tokens: until the call that was made for it has
   * failed, which leaves time to ask other lenders after the first one is overdue.
   */
  static final long MAX_WAIT_NANOS = LenderState.CALL_TIMEOUT_NANOS;

  /** Requests that may wait for tokens; further ones are refused at once. */
  private static final int MAX_WAITING_REQUESTS = 1024;

  /** Calls to lenders allowed from the first waiting request until none waits. */
  private static final int MAX_CALLS_WHILE_WAITING = 12;

  /** Tokens are borrowed in advance for the expected demand of this many seconds. */
  private static final double PREFETCH_SECONDS = 0.1;

  private record WaitingRequest(CompletableFuture<RateDecision> decision, long deadlineNanos) {}

  private final ReentrantLock lock = new ReentrantLock();
  private final CustomerId customer;
  private final TokenExchange exchange;
  private final LongSupplier clock;
  private final LongPredicate permitsShares;
  private final BorrowedTokens borrowed = new BorrowedTokens();
  private final DemandEstimate demand = new DemandEstimate();
  private final Deque<WaitingRequest> waitingRequests = new ArrayDeque<>();

  /** Lets the frequent calls of {@link #expire} skip customers that have nothing to expire. */
  private volatile boolean needsExpiry;

  private final Borrower borrower;
  private CustomerShare share;
  private EscrowAccount account;
  private int callsWhileWaiting;

  CustomerTokens(
      CustomerId customer,
      CustomerShare share,
      TokenExchange exchange,
      LongSupplier clock,
      LongPredicate permitsShares) {
    this.customer = customer;
    this.share = share;
    this.exchange = exchange;
    this.clock = clock;
    this.permitsShares = permitsShares;
    this.borrower = new Borrower(share);
  }

  void configure(CustomerShare newShare, long nowNanos) {
    withLock(
        actions -> {
          share = newShare;
          borrower.configure(newShare);
          configureAccount(nowNanos);
          return null;
        });
  }

  CompletionStage<RateDecision> acquire(long nowNanos) {
    return withLock(
        actions -> {
          demand.recordArrival(nowNanos);
          CompletionStage<RateDecision> decision = spendOrWait(nowNanos);
          processWaiting(actions, nowNanos);
          return decision;
        });
  }

  TokenLoan lend(double requestedTokens, long nowNanos) {
    return withLock(
        actions -> {
          double lentTokens = mayUseAccount(nowNanos) ? account.lend(requestedTokens, nowNanos) : 0;
          return new TokenLoan(lentTokens, lentTokens < requestedTokens ? retryAfterMillis() : 0);
        });
  }

  void expire(long nowNanos) {
    if (!needsExpiry) {
      return;
    }
    withLock(
        actions -> {
          borrower.expireCalls(nowNanos);
          processWaiting(actions, nowNanos);
          return null;
        });
  }

  private CompletionStage<RateDecision> spendOrWait(long nowNanos) {
    if (waitingRequests.isEmpty() && trySpend(nowNanos)) {
      return CompletableFuture.completedFuture(new RateDecision(true, 0));
    }
    if (waitingRequests.size() >= MAX_WAITING_REQUESTS) {
      return CompletableFuture.completedFuture(refusal());
    }
    WaitingRequest entry = new WaitingRequest(new CompletableFuture<>(), nowNanos + MAX_WAIT_NANOS);
    waitingRequests.addLast(entry);
    return entry.decision();
  }

  /**
   * Admits waiting requests, borrows missing tokens, then refuses requests that timed out or that
   * no outstanding call can serve.
   */
  private void processWaiting(List<Runnable> actions, long nowNanos) {
    while (!waitingRequests.isEmpty() && trySpend(nowNanos)) {
      complete(waitingRequests.removeFirst(), new RateDecision(true, 0), actions);
    }
    borrow(actions, nowNanos);
    while (!waitingRequests.isEmpty() && mustBeRefused(waitingRequests.peekFirst(), nowNanos)) {
      complete(waitingRequests.removeFirst(), refusal(), actions);
    }
    if (waitingRequests.isEmpty()) {
      callsWhileWaiting = 0;
    }
  }

  private boolean mustBeRefused(WaitingRequest entry, long nowNanos) {
    return nowNanos - entry.deadlineNanos() >= 0 || !borrower.hasOutstandingCalls();
  }

  private void borrow(List<Runnable> actions, long nowNanos) {
    double targetTokens = prefetchTargetTokens(nowNanos);
    double missingTokens =
        waitingRequests.size()
            + targetTokens
            - available(nowNanos)
            - borrower.pendingTokens(nowNanos);
    boolean shouldBorrow = !waitingRequests.isEmpty() || missingTokens > targetTokens / 2;
    if (missingTokens > EscrowAccount.ROUNDING_TOKENS && shouldBorrow) {
      List<Borrower.Call> calls =
          borrower.planCalls(missingTokens, MAX_CALLS_WHILE_WAITING - callsWhileWaiting, nowNanos);
      callsWhileWaiting += calls.size();
      calls.forEach(call -> actions.add(() -> send(call)));
    }
  }

  /**
   * Returns the tokens to keep available. Less than one token per prefetch time is not prefetched:
   * it would mostly expire unused, which would cost a customer with little traffic on many VMs a
   * part of its rate.
   */
  private double prefetchTargetTokens(long nowNanos) {
    double targetTokens = demand.requestsPerSecond(nowNanos) * PREFETCH_SECONDS;
    return targetTokens < 1 ? 0 : targetTokens;
  }

  private void send(Borrower.Call call) {
    try {
      exchange
          .request(call.lender(), customer, call.tokens())
          .whenComplete((loan, failure) -> handleAnswer(call, failure == null ? loan : null));
    } catch (RuntimeException exception) {
      handleAnswer(call, null);
    }
  }

  private void handleAnswer(Borrower.Call call, TokenLoan loan) {
    long nowNanos = clock.getAsLong();
    withLock(
        actions -> {
          if (loan == null) {
            borrower.recordFailure(call, nowNanos);
          } else {
            borrowed.add(loan.tokens(), call.requestedAtNanos(), nowNanos);
            borrower.recordLoan(call, loan, nowNanos);
          }
          processWaiting(actions, nowNanos);
          return null;
        });
  }

  private boolean trySpend(long nowNanos) {
    if (available(nowNanos) < 1 - EscrowAccount.ROUNDING_TOKENS) {
      return false;
    }
    double spentTokens = borrowed.spendUpTo(1, nowNanos);
    if (spentTokens < 1 && mayUseAccount(nowNanos)) {
      account.spendUpTo(1 - spentTokens, nowNanos);
    }
    return true;
  }

  private double available(long nowNanos) {
    double ownTokens = mayUseAccount(nowNanos) ? account.available(nowNanos) : 0;
    return ownTokens + borrowed.available(nowNanos);
  }

  boolean usesShare() {
    lock.lock();
    try {
      return account != null;
    } finally {
      lock.unlock();
    }
  }

  private boolean mayUseAccount(long nowNanos) {
    return account != null && permitsShares.test(nowNanos);
  }

  private void configureAccount(long nowNanos) {
    if (!share.ownsShare()) {
      account = null;
    } else if (account == null) {
      account = new EscrowAccount(share.tokensPerSecond(), share.burst(), nowNanos);
    } else {
      account.configure(share.tokensPerSecond(), share.burst(), nowNanos);
    }
  }

  private RateDecision refusal() {
    return new RateDecision(false, retryAfterMillis());
  }

  private long retryAfterMillis() {
    return Math.max(1, (long) Math.ceil(1000 / share.tokensPerSecond()));
  }

  private static void complete(
      WaitingRequest entry, RateDecision decision, List<Runnable> actions) {
    actions.add(() -> entry.decision().complete(decision));
  }

  private <T> T withLock(Function<List<Runnable>, T> action) {
    List<Runnable> actions = new ArrayList<>();
    T result;
    lock.lock();
    try {
      result = action.apply(actions);
      needsExpiry = !waitingRequests.isEmpty() || borrower.hasOutstandingCalls();
    } finally {
      lock.unlock();
    }
    actions.forEach(Runnable::run);
    return result;
  }
}
