package org.toucanrack.internal.coordination.steer;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.RegionId;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;

/**
 * The regions that may run a request. Immutable and thread-safe.
 *
 * @param regions the allowed regions; empty for all
 */
public record HomeRegions(Set<RegionId> regions) {

  /** All regions are allowed. */
  public static final HomeRegions ANY = new HomeRegions(Set.of());

  /** No region is allowed: this name matches none. */
  private static final HomeRegions NOWHERE =
      new HomeRegions(Set.of(new RegionId("none.in.common")));

  /** Copies the set. */
  public HomeRegions {
    regions = Set.copyOf(regions);
  }

  /** Returns the regions that both a route and the customer, if there is one, allow. */
  public static HomeRegions of(RouteRule route, Optional<CustomerRule> customer) {
    return new HomeRegions(route.homeRegions())
        .and(customer.map(rule -> new HomeRegions(rule.homeRegions())).orElse(ANY));
  }

  /** Returns the regions that both allow. */
  public HomeRegions and(HomeRegions other) {
    if (regions.isEmpty() || regions.equals(other.regions)) {
      return other;
    }
    if (other.regions.isEmpty()) {
      return this;
    }
    Set<RegionId> common = new HashSet<>(regions);
    common.retainAll(other.regions);
    return common.isEmpty() ? NOWHERE : new HomeRegions(common);
  }
}
