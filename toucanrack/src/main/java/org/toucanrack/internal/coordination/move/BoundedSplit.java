package org.toucanrack.internal.coordination.move;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.toucanrack.id.FailureDomainId;

/**
 * The split that one VM applies to the traffic of one service in one failure domain. It approaches
 * the declared split in bounded steps.
 *
 * <p>Invariant: in any window, the fraction of traffic that changes its failure domain, in either
 * direction, is at most the cap, regardless of which declared splits the VM has observed. Not
 * thread-safe; guarded by the lock of the gate.
 */
final class BoundedSplit {

  private record Change(double fraction, long atNanos) {}

  private final Deque<Change> changes = new ArrayDeque<>();
  private Map<FailureDomainId, Double> applied;

  /** Creates a split that is already in effect, as on a VM that has just started. */
  BoundedSplit(Map<FailureDomainId, Double> applied) {
    this.applied = Map.copyOf(applied);
  }

  Map<FailureDomainId, Double> applied() {
    return applied;
  }

  double shiftedFraction() {
    return applied.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Moves towards the target as far as the budget allows and records the change. */
  void moveTowards(Map<FailureDomainId, Double> target, double budget, long nowNanos) {
    double distance = distance(target);
    double change = Math.min(distance, budget);
    if (change <= 0) {
      return;
    }
    double progress = change / distance;
    Map<FailureDomainId, Double> next = new HashMap<>();
    for (FailureDomainId domain : union(target)) {
      double before = applied.getOrDefault(domain, 0.0);
      double after = before + progress * (target.getOrDefault(domain, 0.0) - before);
      if (after > 0) {
        next.put(domain, after);
      }
    }
    applied = Map.copyOf(next);
    changes.addLast(new Change(change, nowNanos));
  }

  /**
   * Returns the fraction of traffic that changed its failure domain in the window that ends now.
   */
  double changedFraction(long windowNanos, long nowNanos) {
    while (!changes.isEmpty() && nowNanos - changes.peekFirst().atNanos() > windowNanos) {
      changes.removeFirst();
    }
    return changes.stream().mapToDouble(Change::fraction).sum();
  }

  /**
   * Returns the fraction of traffic that would change its failure domain: the larger of the sum of
   * increases and the sum of decreases.
   */
  private double distance(Map<FailureDomainId, Double> target) {
    double increase = 0;
    double decrease = 0;
    for (FailureDomainId domain : union(target)) {
      double change = target.getOrDefault(domain, 0.0) - applied.getOrDefault(domain, 0.0);
      increase += Math.max(0, change);
      decrease += Math.max(0, -change);
    }
    return Math.max(increase, decrease);
  }

  private Set<FailureDomainId> union(Map<FailureDomainId, Double> target) {
    Set<FailureDomainId> domains = new HashSet<>(applied.keySet());
    domains.addAll(target.keySet());
    return domains;
  }
}
