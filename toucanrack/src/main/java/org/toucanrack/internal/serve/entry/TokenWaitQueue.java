package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;

/**
 * Requests that wait for a token from another VM, since this VM's share of their customer's rate is
 * used up. Confined to the traffic thread.
 */
final class TokenWaitQueue {

  /**
   * Longest wait: time to ask three VMs within a region, and less than an eighth of most latency
   * objectives.
   */
  private static final long MAX_WAIT_MS = 25;

  /**
   * Time for which no more tokens are requested for a customer after the other VMs had none either:
   * the customer is above its rate.
   */
  private static final long EXHAUSTED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Requests of a customer that may wait at a time; a customer with more is above its rate. */
  private static final int MAX_WAITING_REQUESTS = 4;

  private final NioReactor reactor;
  private final Consumer<CustomerId> tokenRequester;
  private final Map<CustomerId, CustomerQueue> queues = new HashMap<>();

  private static final class CustomerQueue {
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private long pausedUntilNanos = Long.MIN_VALUE;
  }

  /** A request that waits for a token. */
  interface WaitingRequest {

    /** Called when the request has got a token. */
    void admitted();

    /** Called when there is no token for the request, or none arrived in time. */
    void refused();
  }

  TokenWaitQueue(NioReactor reactor, Consumer<CustomerId> tokenRequester) {
    this.reactor = reactor;
    this.tokenRequester = tokenRequester;
  }

  /**
   * Enqueues a request and asks for a token; returns false, without a callback, if none can be
   * expected.
   */
  boolean enqueue(CustomerId customer, WaitingRequest request, long nowNanos) {
    CustomerQueue queue = queues.computeIfAbsent(customer, id -> new CustomerQueue());
    if (nowNanos < queue.pausedUntilNanos || queue.waiting.size() >= MAX_WAITING_REQUESTS) {
      return false;
    }
    queue.waiting.addLast(request);
    reactor.delayBackground(
        MAX_WAIT_MS,
        () -> {
          if (queue.waiting.remove(request)) {
            request.refused();
          }
        });
    tokenRequester.accept(customer);
    return true;
  }

  /** Removes a request whose caller has closed its connection. */
  void remove(CustomerId customer, WaitingRequest request) {
    queues.get(customer).waiting.remove(request);
  }

  /**
   * Admits the first waiting request of the customer if another VM has lent a token, else refuses
   * it.
   */
  void loanCompleted(CustomerId customer, boolean lent, long nowNanos) {
    CustomerQueue queue = queues.get(customer);
    WaitingRequest first = queue == null ? null : queue.waiting.pollFirst();
    if (first == null) {
      return;
    }
    if (lent) {
      first.admitted();
    } else {
      queue.pausedUntilNanos = nowNanos + EXHAUSTED_PAUSE_NANOS;
      first.refused();
    }
  }
}
