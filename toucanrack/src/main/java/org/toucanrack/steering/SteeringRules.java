package org.toucanrack.steering;

import java.util.List;
import java.util.Objects;

/**
 * One version of the operators' configuration. Immutable and thread-safe.
 *
 * @param version rises with each configuration
 * @param routes all routes
 * @param services all services
 * @param customers all customers; without any, requests need no key
 * @param limits what callers may send
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
}
