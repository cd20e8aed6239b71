package org.toucanrack.internal.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.RegionLink;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.internal.state.ControlSnapshot;

/** The link budgets from this VM's region to the others, by failure domain. Thread-safe. */
public final class LinkBudgets {

  private final Map<RegionId, LinkBudget> budgets = new HashMap<>();
  private Map<FailureDomainId, LinkBudget> byDomain = Map.of();

  /** Adapts the budgets to a new snapshot; consumed bytes stay deducted. */
  public synchronized void update(ControlSnapshot snapshot, RoutingIndex index, long nowNanos) {
    RegionId own = index.regions().get(snapshot.self().failureDomain());
    int vmCount =
        (int)
            snapshot.members().values().stream()
                .filter(member -> index.distance(member.failureDomain(), ownDomain(snapshot)) < 2)
                .count();
    Map<FailureDomainId, LinkBudget> next = new HashMap<>();
    index
        .regions()
        .forEach(
            (domain, region) ->
                link(snapshot, own, region)
                    .ifPresent(link -> next.put(domain, budget(region, link, vmCount, nowNanos))));
    byDomain = next;
  }

  /** Returns the budget for traffic to a failure domain; empty if no declared link limits it. */
  public synchronized Optional<LinkBudget> budgetTo(FailureDomainId domain) {
    return Optional.ofNullable(byDomain.get(domain));
  }

  private LinkBudget budget(RegionId region, RegionLink link, int vmCount, long nowNanos) {
    LinkBudget budget =
        budgets.computeIfAbsent(
            region, key -> new LinkBudget(link.bitsPerSecond(), vmCount, nowNanos));
    budget.resize(link.bitsPerSecond(), vmCount);
    return budget;
  }

  private static FailureDomainId ownDomain(ControlSnapshot snapshot) {
    return snapshot.self().failureDomain();
  }

  private static Optional<RegionLink> link(ControlSnapshot snapshot, RegionId own, RegionId other) {
    if (own == null || own.equals(other)) {
      return Optional.empty();
    }
    return snapshot.configuration().orElseThrow().deployment().links().stream()
        .filter(link -> link.connects(own, other))
        .findFirst();
  }
}
