package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.Optional;
import org.toucanrack.internal.coordination.steer.HomeRegions;
import org.toucanrack.internal.coordination.steer.RuleIndex;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.HeaderNames;
import org.toucanrack.steering.RouteRule;

/**
 * Reads from a request who sends it, which object it is about and how long its caller waits.
 * Immutable and thread-safe.
 */
final class RequestAttributes {

  private static final String BEARER = "Bearer ";

  private final HeaderNames names;

  RequestAttributes(HeaderNames names) {
    this.names = names;
  }

  /** Returns the customer whose key the request carries, if it is a valid one. */
  Optional<CustomerRule> customer(HttpMessage request, RuleIndex rules) {
    return request
        .field("Authorization")
        .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .flatMap(value -> rules.customer(value.substring(BEARER.length()).strip()));
  }

  /**
   * Returns the regions that may run a request by other rules than those of its arrival. A
   * withdrawn key still counts for its last customer.
   */
  HomeRegions homeRegions(AdmittedRequest request, RuleIndex rules) {
    HttpMessage message = request.message();
    RouteRule route =
        rules.route(message.field("Host").orElse(""), message.target()).orElse(request.route());
    Optional<CustomerRule> lastCustomer =
        request.customer().map(rule -> rules.customer(rule.id()).orElse(rule));
    return HomeRegions.of(route, customer(message, rules).or(() -> lastCustomer));
  }

  /** Returns whether the key of a request belongs to another customer by other rules. */
  boolean isOfOtherCustomer(AdmittedRequest request, RuleIndex rules) {
    return customer(request.message(), rules)
        .map(CustomerRule::id)
        .filter(current -> !Optional.of(current).equals(request.customer().map(CustomerRule::id)))
        .isPresent();
  }

  /** Returns the id in the object cookie. Requests without one are spread by their request ids. */
  Optional<String> objectId(HttpMessage request) {
    String prefix = names.objectCookie() + "=";
    for (String cookie : request.field("Cookie").orElse("").split(";")) {
      String text = cookie.strip();
      if (text.startsWith(prefix)) {
        return Optional.of(text.substring(prefix.length()));
      }
    }
    return Optional.empty();
  }

  /** Returns how long the caller waits: the route's timeout, or less if the request says so. */
  Duration timeout(HttpMessage request, RouteRule route) {
    String millis = request.field(names.deadlineMillis()).orElse("");
    if (!millis.matches("[0-9]{1,9}")) {
      return route.timeout();
    }
    Duration asked = Duration.ofMillis(Long.parseLong(millis));
    return asked.compareTo(route.timeout()) < 0 ? asked : route.timeout();
  }
}
