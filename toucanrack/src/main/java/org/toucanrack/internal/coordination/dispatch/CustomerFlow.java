package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;

/**
 * The queued requests of one customer and its start tag in start-time fair queueing. Guarded by the
 * dispatcher's lock.
 */
final class CustomerFlow {

  /** Prevents division by zero for customers without a declared weight. */
  private static final double MIN_WEIGHT = 1e-3;

  private final Deque<QueuedRequest> requests = new ArrayDeque<>();
  private double startTag;
  private double weight = 1;

  void add(QueuedRequest queued, double virtualTime) {
    if (requests.isEmpty()) {
      startTag = Math.max(startTag, virtualTime);
    }
    weight = Math.max(queued.request().weight(), MIN_WEIGHT);
    requests.addLast(queued);
  }

  /** Advances the start tag by the cost of one request. */
  void charge() {
    startTag += 1 / weight;
  }

  QueuedRequest firstMatching(Predicate<QueuedRequest> predicate) {
    for (QueuedRequest queued : requests) {
      if (predicate.test(queued)) {
        return queued;
      }
    }
    return null;
  }

  QueuedRequest newest() {
    return requests.peekLast();
  }

  boolean remove(QueuedRequest queued) {
    return requests.remove(queued);
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  double startTag() {
    return startTag;
  }

  double backlogPerWeight() {
    return requests.size() / weight;
  }
}
