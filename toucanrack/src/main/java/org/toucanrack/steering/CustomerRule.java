package org.toucanrack.steering;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RegionId;

/**
 * A customer with its keys and its rate limit, which applies to all VMs together. Immutable and
 * thread-safe.
 *
 * @param id the customer
 * @param keys the API keys that identify its requests
 * @param priority the priority of its requests, 0 is the highest; goes before that of the route
 * @param requestsPerSecond the rate limit; 0 for none
 * @param burst number of requests accepted at once beyond the rate
 * @param homeRegions the regions allowed to run its requests; empty for all
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

  /** Returns whether a rate limit applies to the customer. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }

  /** Omits the keys, which must not appear in logs. */
  @Override
  public String toString() {
    return "CustomerRule[" + id + "]";
  }
}
