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
 * Requests that wait for a token of another VM, since their customer's part of the rate on this VM
 * is used up. Confined to the traffic thread.
 */
final class TokenWaitQueue {

  /** Longest wait: three questions within a region, and less than an eighth of most objectives. */
  private static final long MAX_WAIT_MS = 25;

  /** Pause of questions after other VMs had no token either: the customer is above its rate. */
  private static final long EXHAUSTED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Requests of a customer that wait at a time; more means that it is above its rate. */
  private static final int MAX_WAITING_REQUESTS = 4;

  private final NioReactor reactor;
  private final Consumer<CustomerId> tokenRequester;
  private final Map<CustomerId, CustomerQueue> queues = new HashMap<>();

  private static final class CustomerQueue {
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private long pausedUntilNanos = Long.MIN_VALUE;
  }

  /** A request that waits. */
  interface WaitingRequest {

    /** It got a token. */
    void admitted();

    /** There is no token for it. */
    void refused();
  }

  TokenWaitQueue(NioReactor reactor, Consumer<CustomerId> tokenRequester) {
    this.reactor = reactor;
    this.tokenRequester = tokenRequester;
  }

  /** Lets a request wait for a token; returns whether there is a prospect of one. */
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

  /** Ends the wait of a request whose caller left. */
  void remove(CustomerId customer, WaitingRequest request) {
    queues.get(customer).waiting.remove(request);
  }

  /** Another VM gave a token, or none had one. */
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
