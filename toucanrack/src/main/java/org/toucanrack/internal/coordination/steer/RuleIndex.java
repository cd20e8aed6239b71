package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.ServiceRule;
import org.toucanrack.steering.SteeringRules;

/** Index of one version of the rules by route, service and customer. Immutable and thread-safe. */
public final class RuleIndex {

  private final SteeringRules rules;
  private final Map<String, List<RouteRule>> routesByHost = new HashMap<>();
  private final Map<String, CustomerRule> customersByKey = new HashMap<>();
  private final Map<CustomerId, CustomerRule> customersById = new HashMap<>();
  private final Map<ServiceId, ServiceRule> services = new HashMap<>();

  /** Builds the index. */
  public RuleIndex(SteeringRules rules) {
    this.rules = rules;
    for (RouteRule route : rules.routes()) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<RouteRule> longestFirst =
        Comparator.comparingInt(route -> -route.pathPrefix().length());
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
    for (CustomerRule customer : rules.customers()) {
      customersById.put(customer.id(), customer);
      customer.keys().forEach(key -> customersByKey.put(key, customer));
    }
    rules.services().forEach(service -> services.put(service.id(), service));
  }

  /** Returns the rules that this index was built from. */
  public SteeringRules rules() {
    return rules;
  }

  /**
   * Returns the route with the longest prefix that matches the path.
   *
   * @param hostField the host, with or without a port
   * @param target the request target; its query is ignored
   */
  public Optional<RouteRule> route(String hostField, String target) {
    int port = hostField.indexOf(':');
    String host = (port < 0 ? hostField : hostField.substring(0, port)).toLowerCase(Locale.ROOT);
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (RouteRule route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the customer to which a key belongs. */
  public Optional<CustomerRule> customer(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns the rule of a customer, if it exists. */
  public Optional<CustomerRule> customer(CustomerId id) {
    return Optional.ofNullable(customersById.get(id));
  }

  /** Returns whether requests must carry a key, which is the case if there are customers. */
  public boolean needsKeys() {
    return !rules.customers().isEmpty();
  }

  /** Returns the rule of a service, if it exists. */
  public Optional<ServiceRule> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }
}
