package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanrack.id.CustomerId;

/**
 * Start-time fair queue over customers, each with its weight.
 *
 * <p>Invariant: among customers with eligible requests, the one with the lowest start tag goes
 * first. Guarded by the dispatcher's lock.
 */
final class FairQueue {

  /** Number of flows above which those of idle customers are discarded. */
  private static final int FLOW_CLEANUP_THRESHOLD = 1024;

  private final Map<CustomerId, CustomerFlow> flows = new HashMap<>();
  private final Map<String, QueuedRequest> byRequestId = new LinkedHashMap<>();
  private double virtualTime;

  /** Lower bound of the deadlines of the queued requests. */
  private long earliestDeadlineNanos;

  boolean add(QueuedRequest queued) {
    if (byRequestId.putIfAbsent(queued.request().requestId(), queued) != null) {
      return false;
    }
    updateEarliestDeadline(queued.request().deadlineNanos());
    flows
        .computeIfAbsent(queued.request().customer(), customer -> new CustomerFlow())
        .add(queued, virtualTime);
    return true;
  }

  /** Removes the first eligible request in fair order and charges its customer. */
  Optional<QueuedRequest> pollFirst(Predicate<QueuedRequest> eligible) {
    List<CustomerFlow> backlogged = backloggedFlows();
    backlogged.sort(Comparator.comparingDouble(CustomerFlow::startTag));
    for (CustomerFlow flow : backlogged) {
      QueuedRequest queued = flow.firstMatching(eligible);
      if (queued != null) {
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.charge();
        unlink(queued);
        return Optional.of(queued);
      }
    }
    return Optional.empty();
  }

  /** Removes the newest request of the customer with the largest backlog for its weight. */
  Optional<QueuedRequest> dropFromLargestBacklog() {
    Optional<QueuedRequest> victim =
        backloggedFlows().stream()
            .max(Comparator.comparingDouble(CustomerFlow::backlogPerWeight))
            .map(CustomerFlow::newest);
    victim.ifPresent(this::unlink);
    return victim;
  }

  Optional<QueuedRequest> remove(String requestId) {
    Optional<QueuedRequest> queued = Optional.ofNullable(byRequestId.get(requestId));
    queued.ifPresent(this::unlink);
    return queued;
  }

  List<QueuedRequest> removeAll(Predicate<QueuedRequest> predicate) {
    List<QueuedRequest> removed =
        new ArrayList<>(byRequestId.values().stream().filter(predicate).toList());
    removed.forEach(this::unlink);
    return removed;
  }

  /** Removes requests whose deadline has passed; their customers are not charged. */
  List<QueuedRequest> removeExpired(long nowNanos) {
    if (byRequestId.isEmpty() || earliestDeadlineNanos - nowNanos > 0) {
      return List.of();
    }
    List<QueuedRequest> expired = removeAll(queued -> queued.isExpired(nowNanos));
    earliestDeadlineNanos =
        byRequestId.values().stream()
            .mapToLong(queued -> queued.request().deadlineNanos())
            .reduce((first, second) -> first - second <= 0 ? first : second)
            .orElse(nowNanos);
    return expired;
  }

  int size() {
    return byRequestId.size();
  }

  private void updateEarliestDeadline(long deadlineNanos) {
    if (byRequestId.size() == 1 || deadlineNanos - earliestDeadlineNanos < 0) {
      earliestDeadlineNanos = deadlineNanos;
    }
  }

  private void unlink(QueuedRequest queued) {
    byRequestId.remove(queued.request().requestId());
    flows.get(queued.request().customer()).remove(queued);
    if (flows.size() > FLOW_CLEANUP_THRESHOLD) {
      flows.values().removeIf(flow -> flow.isEmpty() && flow.startTag() <= virtualTime);
    }
  }

  private List<CustomerFlow> backloggedFlows() {
    List<CustomerFlow> backlogged = new ArrayList<>();
    for (CustomerFlow flow : flows.values()) {
      if (!flow.isEmpty()) {
        backlogged.add(flow);
      }
    }
    return backlogged;
  }
}
