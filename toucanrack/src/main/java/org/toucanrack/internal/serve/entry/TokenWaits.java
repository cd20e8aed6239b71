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
final class TokenWaits {

  /** Longest wait: three questions within a region, and less than an eighth of most objectives. */
  private static final long WAIT_MS = 25;

  /** Pause of questions after other VMs had no token either: the customer is above its rate. */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Requests of a customer that wait at a time; more means that it is above its rate. */
  private static final int MAX_WAITING = 4;

  private final NioReactor reactor;
  private final Consumer<CustomerId> asker;
  private final Map<CustomerId, Queue> queues = new HashMap<>();

  private static final class Queue {
    private final Deque<Wait> waiting = new ArrayDeque<>();
    private long pausedUntilNanos = Long.MIN_VALUE;
  }

  /** A request that waits. */
  interface Wait {

    /** It got a token. */
    void admitted();

    /** There is no token for it. */
    void refused();
  }

  TokenWaits(NioReactor reactor, Consumer<CustomerId> asker) {
    this.reactor = reactor;
    this.asker = asker;
  }

  /** Lets a request wait for a token; returns whether there is a prospect of one. */
  boolean await(CustomerId customer, Wait wait, long nowNanos) {
    Queue queue = queues.computeIfAbsent(customer, id -> new Queue());
    if (nowNanos < queue.pausedUntilNanos || queue.waiting.size() >= MAX_WAITING) {
      return false;
    }
    queue.waiting.addLast(wait);
    reactor.delayBackground(
        WAIT_MS,
        () -> {
          if (queue.waiting.remove(wait)) {
            wait.refused();
          }
        });
    asker.accept(customer);
    return true;
  }

  /** Ends the wait of a request whose caller left. */
  void forget(CustomerId customer, Wait wait) {
    queues.get(customer).waiting.remove(wait);
  }

  /** Another VM gave a token, or none had one. */
  void answered(CustomerId customer, boolean lent, long nowNanos) {
    Queue queue = queues.get(customer);
    Wait first = queue == null ? null : queue.waiting.pollFirst();
    if (first == null) {
      return;
    }
    if (lent) {
      first.admitted();
    } else {
      queue.pausedUntilNanos = nowNanos + PAUSE_NANOS;
      first.refused();
    }
  }
}
