package org.toucanrack.internal.coordination.admission;

import java.util.Comparator;
import java.util.Optional;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;

/**
 * The priority of a request: that of its customer, then that of its route. The smallest value is
 * the most urgent. Immutable and thread-safe.
 *
 * @param customer the priority of the customer; that of the route for requests without a customer
 * @param route the priority of the route
 */
public record RequestPriority(int customer, int route) implements Comparable<RequestPriority> {

  private static final Comparator<RequestPriority> ORDER =
      Comparator.comparingInt(RequestPriority::customer).thenComparingInt(RequestPriority::route);

  /** Returns the priority of a customer's request on a route. */
  public static RequestPriority of(Optional<CustomerRule> customer, RouteRule route) {
    return new RequestPriority(
        customer.map(CustomerRule::priority).orElse(route.priority()), route.priority());
  }

  @Override
  public int compareTo(RequestPriority other) {
    return ORDER.compare(this, other);
  }
}
