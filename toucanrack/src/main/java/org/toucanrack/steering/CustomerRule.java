package org.toucanrack.steering;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RegionId;

/**
 * A customer with its keys and its rate over all VMs. Immutable and thread-safe.
 *
 * @param id the customer
 * @param keys the secrets that its requests carry
 * @param priority 0 is the most urgent; goes before the priority of the route
 * @param requestsPerSecond the rate; 0 for no limit
 * @param burst requests that may come at once beyond the rate
 * @param homeRegions regions that may run its requests; empty for all
 */
public record CustomerRule(
    CustomerId id,
    List<String> keys,
    int priority,
    double requestsPerSecond,
    double burst,
    Set<RegionId> homeRegions) {

  /** Copies the collections. */
  public CustomerRule {
    Objects.requireNonNull(id, "id");
    keys = List.copyOf(keys);
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Returns whether the customer has a rate at all. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }

  @Override
  public String toString() {
    return "CustomerRule[" + id + "]";
  }
}
