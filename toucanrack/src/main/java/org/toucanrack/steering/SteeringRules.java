package org.toucanrack.steering;

import java.util.List;
import java.util.Objects;

/**
 * A version of the operators' configuration. Immutable and thread-safe.
 *
 * @param version increases with each configuration
 * @param routes all routes
 * @param services all services
 * @param customers all customers; if there are none, requests need no key
 * @param limits the limits on connections and requests of callers
 */
public record SteeringRules(
    long version,
    List<RouteRule> routes,
    List<ServiceRule> services,
    List<CustomerRule> customers,
    CallerLimits limits) {

  /** Copies the lists. */
  public SteeringRules {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    customers = List.copyOf(customers);
    Objects.requireNonNull(limits, "limits");
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof SteeringRules rules
            && version == rules.version
            && routes.equals(rules.routes)
            && services.equals(rules.services)
            && customers.equals(rules.customers)
            && limits.equals(rules.limits));
  }

  @Override
  public int hashCode() {
    return Long.hashCode(version);
  }
}
