package org.toucanrack.internal.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.toucanrack.id.CustomerId;

/**
 * The tokens of one customer on this VM: the owned share, borrowed tokens and waiting requests.
 * Thread-safe; calls to peers and completions run without the lock.
 */
final class CustomerTokens {

  /** Longest time that a request waits for borrowed tokens. */
  static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Requests that may wait for tokens; more are refused at once. */
  private static final int MAX_WAITING = 1024;

  /** Calls to givers while the same requests wait. */
  private static final int MAX_TRIES = 12;

  /** Demand that is kept available, as the time in which it is used. */
  private static final double PREFETCH_SECONDS = 0.1;

  private record Waiting(CompletableFuture<RateDecision> decision, long deadlineNanos) {}

  private final ReentrantLock lock = new ReentrantLock();
  private final CustomerId customer;
  private final TokenExchange exchange;
  private final LongSupplier clock;
  private final LongPredicate permitsShares;
  private final BorrowedTokens borrowed = new BorrowedTokens();
  private final DemandEstimate demand = new DemandEstimate();
  private final Deque<Waiting> waiting = new ArrayDeque<>();

  /** Lets the frequent expiry pass over customers that have nothing to expire. */
  private volatile boolean needsExpiry;

  private final Borrower borrower;
  private CustomerShare share;
  private EscrowAccount account;
  private int tries;

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
    locked(
        actions -> {
          share = newShare;
          borrower.configure(newShare);
          configureAccount(nowNanos);
          return null;
        });
  }

  CompletionStage<RateDecision> acquire(long nowNanos) {
    return locked(
        actions -> {
          demand.arrived(nowNanos);
          CompletionStage<RateDecision> decision = takeOrWait(nowNanos);
          serve(actions, nowNanos);
          return decision;
        });
  }

  TokenLoan lend(double wanted, long nowNanos) {
    return locked(
        actions -> {
          double given = permitsAccount(nowNanos) ? account.lend(wanted, nowNanos) : 0;
          return new TokenLoan(given, given < wanted ? retryAfterMillis() : 0);
        });
  }

  void expire(long nowNanos) {
    if (!needsExpiry) {
      return;
    }
    locked(
        actions -> {
          borrower.expire(nowNanos);
          serve(actions, nowNanos);
          return null;
        });
  }

  private CompletionStage<RateDecision> takeOrWait(long nowNanos) {
    if (waiting.isEmpty() && trySpend(nowNanos)) {
      return CompletableFuture.completedFuture(new RateDecision(true, 0));
    }
    if (waiting.size() >= MAX_WAITING) {
      return CompletableFuture.completedFuture(refusal());
    }
    Waiting entry = new Waiting(new CompletableFuture<>(), nowNanos + MAX_WAIT_NANOS);
    waiting.addLast(entry);
    return entry.decision();
  }

  /** Admits waiting requests, asks for missing tokens, then refuses those without hope. */
  private void serve(List<Runnable> actions, long nowNanos) {
    while (!waiting.isEmpty() && trySpend(nowNanos)) {
      complete(waiting.removeFirst(), new RateDecision(true, 0), actions);
    }
    borrow(actions, nowNanos);
    while (!waiting.isEmpty() && isHopeless(waiting.peekFirst(), nowNanos)) {
      complete(waiting.removeFirst(), refusal(), actions);
    }
    if (waiting.isEmpty()) {
      tries = 0;
    }
  }

  private boolean isHopeless(Waiting entry, long nowNanos) {
    return nowNanos - entry.deadlineNanos() >= 0 || !borrower.hasOutstandingCalls();
  }

  private void borrow(List<Runnable> actions, long nowNanos) {
    double target = prefetchTarget(nowNanos);
    double missing = waiting.size() + target - available(nowNanos) - borrower.pendingTokens();
    boolean worthwhile = !waiting.isEmpty() || missing > target / 2;
    if (missing > EscrowAccount.ROUNDING_TOKENS && worthwhile) {
      List<Borrower.Call> calls = borrower.plan(missing, MAX_TRIES - tries, nowNanos);
      tries += calls.size();
      calls.forEach(call -> actions.add(() -> send(call)));
    }
  }

  /**
   * Less than one token per prefetch time is not prefetched: it would mostly end unused, which
   * costs a customer with little traffic on many VMs a part of its rate.
   */
  private double prefetchTarget(long nowNanos) {
    double target = demand.requestsPerSecond(nowNanos) * PREFETCH_SECONDS;
    return target < 1 ? 0 : target;
  }

  private void send(Borrower.Call call) {
    try {
      exchange
          .request(call.giver(), customer, call.tokens())
          .whenComplete((loan, failure) -> received(call, failure == null ? loan : null));
    } catch (RuntimeException exception) {
      received(call, null);
    }
  }

  private void received(Borrower.Call call, TokenLoan loan) {
    long nowNanos = clock.getAsLong();
    locked(
        actions -> {
          if (loan == null) {
            borrower.failed(call, nowNanos);
          } else {
            borrowed.add(loan.tokens(), call.askedNanos(), nowNanos);
            borrower.answered(call, loan, nowNanos);
          }
          serve(actions, nowNanos);
          return null;
        });
  }

  private boolean trySpend(long nowNanos) {
    if (available(nowNanos) < 1 - EscrowAccount.ROUNDING_TOKENS) {
      return false;
    }
    double taken = borrowed.takeUpTo(1, nowNanos);
    if (taken < 1 && permitsAccount(nowNanos)) {
      account.takeUpTo(1 - taken, nowNanos);
    }
    return true;
  }

  private double available(long nowNanos) {
    double own = permitsAccount(nowNanos) ? account.available(nowNanos) : 0;
    return own + borrowed.available(nowNanos);
  }

  boolean usesShare() {
    lock.lock();
    try {
      return account != null;
    } finally {
      lock.unlock();
    }
  }

  private boolean permitsAccount(long nowNanos) {
    return account != null && permitsShares.test(nowNanos);
  }

  private void configureAccount(long nowNanos) {
    if (!share.owner()) {
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

  private static void complete(Waiting entry, RateDecision decision, List<Runnable> actions) {
    actions.add(() -> entry.decision().complete(decision));
  }

  private <T> T locked(Function<List<Runnable>, T> work) {
    List<Runnable> actions = new ArrayList<>();
    T result;
    lock.lock();
    try {
      result = work.apply(actions);
      needsExpiry = !waiting.isEmpty() || borrower.hasOutstandingCalls();
    } finally {
      lock.unlock();
    }
    actions.forEach(Runnable::run);
    return result;
  }
}
