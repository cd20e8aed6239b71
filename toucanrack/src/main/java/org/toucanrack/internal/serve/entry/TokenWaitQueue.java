package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.coordination.steer.SmallRatePolicy;

/**
 * Requests that wait for a token, since this VM's share of their customer's rate is used up. The
 * token comes from another VM or, for a request that may wait longer, from this VM's own share.
 * Confined to the traffic thread.
 */
final class TokenWaitQueue {

  /**
   * Longest wait: time to ask three VMs within a region and two in other ones, and less than a
   * fifth of most latency objectives.
   */
  private static final long MAX_LOAN_WAIT_MS = 60;

  /** Interval at which a waiting request tries to take a token of this VM's share. */
  private static final long OWN_TOKEN_INTERVAL_MS = 15;

  /**
   * Time for which no more tokens are requested for a customer after the other VMs had none either:
   * the customer is above its rate.
   */
  private static final long EXHAUSTED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Requests of a customer that may wait at a time for tokens of this VM's share. */
  private static final int MAX_WAITING_FOR_OWN_TOKENS = 32;

  /**
   * Time for which a loan is kept that came after its request had ended. The lender has counted it
   * already, and a request that uses it later moves within the window by this time at most.
   */
  private static final long LATE_LOAN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Late loans of a customer that are kept at a time. */
  private static final int MAX_LATE_LOANS = 16;

  private final SmallRatePolicy policy;
  private final Timer timer;
  private final LongSupplier clock;
  private final Consumer<CustomerId> tokenRequester;
  private final Predicate<CustomerId> ownTokens;
  private final Map<CustomerId, CustomerQueue> queues = new HashMap<>();

  private static final class CustomerQueue {
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final Deque<Entry> waitingForOwnToken = new ArrayDeque<>();
    private final Deque<Long> lateLoanExpiries = new ArrayDeque<>();
    private long pausedUntilNanos = Long.MIN_VALUE;
  }

  /** A request that waits for a token. */
  interface WaitingRequest {

    /** Called when the request has got a token. */
    void admitted();

    /** Called when there is no token for the request, or none arrived in time. */
    void refused();
  }

  /** Runs actions on the traffic thread after a delay. */
  interface Timer {

    /** Runs the action once after the delay. */
    void schedule(long delayMillis, Runnable action);
  }

  private record Entry(WaitingRequest request, long maxWaitUntilNanos) {}

  /**
   * Creates an empty queue.
   *
   * @param policy how many requests wait, and for what
   * @param clock the monotonic time in nanoseconds
   * @param tokenRequester asks other VMs for a token of a customer
   * @param ownTokens takes a token of this VM's share; returns whether there was one
   */
  TokenWaitQueue(
      SmallRatePolicy policy,
      Timer timer,
      LongSupplier clock,
      Consumer<CustomerId> tokenRequester,
      Predicate<CustomerId> ownTokens) {
    this.policy = policy;
    this.timer = timer;
    this.clock = clock;
    this.tokenRequester = tokenRequester;
    this.ownTokens = ownTokens;
  }

  /**
   * Enqueues a request and asks for a token; returns false, without a callback, if none can be
   * expected.
   *
   * @param maxWait longest time for which the request may wait for a token of this VM's share
   */
  boolean enqueue(CustomerId customer, WaitingRequest request, Duration maxWait, long nowNanos) {
    CustomerQueue queue = queues.computeIfAbsent(customer, id -> new CustomerQueue());
    Entry entry = new Entry(request, nowNanos + maxWait.toNanos());
    if (nowNanos < queue.pausedUntilNanos || queue.waiting.size() >= policy.maxWaitingRequests()) {
      return !maxWait.isZero() && waitForOwnToken(customer, queue, entry);
    }
    queue.waiting.addLast(entry);
    timer.schedule(
        MAX_LOAN_WAIT_MS,
        () -> {
          if (queue.waiting.remove(entry)) {
            waitForOwnTokenOrRefuse(customer, queue, entry);
          }
        });
    tokenRequester.accept(customer);
    return true;
  }

  private void waitForOwnTokenOrRefuse(CustomerId customer, CustomerQueue queue, Entry entry) {
    boolean waits =
        clock.getAsLong() < entry.maxWaitUntilNanos() && waitForOwnToken(customer, queue, entry);
    if (!waits) {
      entry.request().refused();
    }
  }

  private boolean waitForOwnToken(CustomerId customer, CustomerQueue queue, Entry entry) {
    if (queue.waitingForOwnToken.size() >= MAX_WAITING_FOR_OWN_TOKENS) {
      return false;
    }
    queue.waitingForOwnToken.addLast(entry);
    if (policy.requestsAgain() && clock.getAsLong() >= queue.pausedUntilNanos) {
      tokenRequester.accept(customer);
    }
    if (queue.waitingForOwnToken.size() == 1) {
      timer.schedule(OWN_TOKEN_INTERVAL_MS, () -> takeOwnTokens(customer, queue));
    }
    return true;
  }

  /** Admits waiting requests in order of arrival, and refuses those that have waited too long. */
  private void takeOwnTokens(CustomerId customer, CustomerQueue queue) {
    while (!queue.waitingForOwnToken.isEmpty() && ownTokens.test(customer)) {
      queue.waitingForOwnToken.pollFirst().request().admitted();
    }
    long nowNanos = clock.getAsLong();
    List<Entry> expired =
        queue.waitingForOwnToken.stream()
            .filter(entry -> nowNanos >= entry.maxWaitUntilNanos())
            .toList();
    queue.waitingForOwnToken.removeAll(expired);
    expired.forEach(entry -> entry.request().refused());
    if (!queue.waitingForOwnToken.isEmpty()) {
      timer.schedule(OWN_TOKEN_INTERVAL_MS, () -> takeOwnTokens(customer, queue));
    }
  }

  /** Takes a loan that came after its request had ended; returns whether there was one. */
  boolean takeLateLoan(CustomerId customer, long nowNanos) {
    CustomerQueue queue = queues.get(customer);
    if (queue == null) {
      return false;
    }
    removeExpiredLoans(queue, nowNanos);
    return queue.lateLoanExpiries.pollFirst() != null;
  }

  private void keepLateLoan(CustomerQueue queue, long nowNanos) {
    removeExpiredLoans(queue, nowNanos);
    if (policy.keepsLateLoans() && queue.lateLoanExpiries.size() < MAX_LATE_LOANS) {
      queue.lateLoanExpiries.addLast(nowNanos + LATE_LOAN_NANOS);
    }
  }

  private static void removeExpiredLoans(CustomerQueue queue, long nowNanos) {
    queue.lateLoanExpiries.removeIf(expiry -> nowNanos >= expiry);
  }

  /** Removes a request whose caller has closed its connection. */
  void remove(CustomerId customer, WaitingRequest request) {
    CustomerQueue queue = queues.get(customer);
    queue.waiting.removeIf(entry -> entry.request() == request);
    queue.waitingForOwnToken.removeIf(entry -> entry.request() == request);
  }

  /**
   * Admits the first waiting request of the customer if another VM has lent a token. Otherwise, the
   * request waits for a token of this VM's share, if it may, or is refused.
   */
  void loanCompleted(CustomerId customer, boolean lent, long nowNanos) {
    CustomerQueue queue = queues.get(customer);
    Entry first = queue == null ? null : queue.waiting.pollFirst();
    if (first == null && lent && queue != null) {
      // The loan arrived after its request had begun to wait for a token of this VM's share.
      first = queue.waitingForOwnToken.pollFirst();
    }
    if (first == null) {
      if (lent && queue != null) {
        keepLateLoan(queue, nowNanos);
      }
      return;
    }
    if (lent) {
      first.request().admitted();
    } else {
      queue.pausedUntilNanos = nowNanos + EXHAUSTED_PAUSE_NANOS;
      waitForOwnTokenOrRefuse(customer, queue, first);
    }
  }
}
