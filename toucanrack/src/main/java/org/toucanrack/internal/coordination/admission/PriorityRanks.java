package org.toucanrack.internal.coordination.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.SteeringRules;

/**
 * The priorities that requests can have under one version of the rules, in order.
 *
 * <p>Invariant: a more urgent priority never has a higher level. Immutable and thread-safe.
 */
public final class PriorityRanks {

  /** The level of the least urgent priority, if there are several. */
  public static final double LOWEST_LEVEL = 2;

  private final List<RequestPriority> priorities;

  private PriorityRanks(List<RequestPriority> priorities) {
    this.priorities = priorities;
  }

  /** Returns the ranks under the given rules. */
  public static PriorityRanks of(SteeringRules rules) {
    // Rules may list thousands of customers and hundreds of routes, so only distinct priorities
    // are combined.
    List<Integer> customers =
        rules.customers().stream().map(CustomerRule::priority).distinct().toList();
    TreeSet<RequestPriority> priorities = new TreeSet<>();
    rules.routes().stream()
        .filter(route -> customers.isEmpty() || route.open())
        .forEach(route -> priorities.add(RequestPriority.of(Optional.empty(), route)));
    rules.routes().stream()
        .map(RouteRule::priority)
        .distinct()
        .forEach(
            route ->
                customers.forEach(
                    customer -> priorities.add(new RequestPriority(customer, route))));
    return new PriorityRanks(List.copyOf(priorities));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PriorityRanks ranks && ranks.priorities.equals(priorities);
  }

  @Override
  public int hashCode() {
    return priorities.hashCode();
  }

  /** Returns the number of different priorities. */
  public int count() {
    return priorities.size();
  }

  /**
   * Returns the rank of a priority, 0 for the most urgent one. A priority of earlier rules has the
   * rank of the next less urgent one.
   */
  public int rank(RequestPriority priority) {
    int low = 0;
    int high = priorities.size() - 1;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (priorities.get(middle).compareTo(priority) < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /**
   * Returns the level of a priority, from 0 for the most urgent to {@link #LOWEST_LEVEL}. Several
   * priorities are spread evenly over this range. A single one is its own level, so that a
   * deployment with one priority is served as its number says.
   */
  public double level(RequestPriority priority) {
    return priorities.size() > 1
        ? LOWEST_LEVEL * rank(priority) / (priorities.size() - 1)
        : Math.min(LOWEST_LEVEL, Math.max(0, priority.customer()));
  }
}
