package org.toucanrack.internal.serve.entry;

import java.util.Optional;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.admission.RequestPriority;
import org.toucanrack.internal.coordination.steer.HomeRegions;
import org.toucanrack.internal.coordination.steer.RuleIndex;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.ServiceRule;

/**
 * A request that was admitted within the rate of its customer. Immutable.
 *
 * @param rules the rules by which it was admitted
 * @param message the request as received
 * @param id its id
 * @param route its route
 * @param customer its customer; empty on routes that need no key
 * @param serviceRule its service
 * @param homeRegions the regions that may run it by these rules
 * @param objectId its object, or its id
 * @param startNanos when it arrived
 * @param deadlineNanos when it is answered at the latest
 */
record AdmittedRequest(
    RuleIndex rules,
    HttpMessage message,
    String id,
    RouteRule route,
    Optional<CustomerRule> customer,
    ServiceRule serviceRule,
    HomeRegions homeRegions,
    String objectId,
    long startNanos,
    long deadlineNanos) {

  ServiceId service() {
    return serviceRule.id();
  }

  RequestPriority priority() {
    return RequestPriority.of(customer, route);
  }

  /** Returns the id of the customer; a common name for requests without one. */
  String customerName() {
    return customer.map(CustomerRule::id).map(CustomerId::value).orElse("-");
  }
}
