package org.toucanrack.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A rule that injects a fault into some of the requests of a backend server.
 *
 * @param kind the effect of the fault
 * @param pathPrefix prefix of the paths to which the rule applies; null for all
 * @param customer customer to whose requests the rule applies; null for all
 * @param fromConcurrency number of running requests from which the rule applies
 * @param afterMillis time after the rule was set from which it applies
 * @param fraction fraction of the matching requests affected, 0 to 1; 0 means all
 * @param status status code for {@code ERROR}; 0 means 500
 * @param delayMillis additional service time for {@code SLOW}
 */
public record FaultRule(
    @JsonProperty(required = true) Kind kind,
    String pathPrefix,
    String customer,
    int fromConcurrency,
    long afterMillis,
    double fraction,
    int status,
    long delayMillis) {

  /** The effect of a fault. All kinds except {@code SHED} take effect after the request ran. */
  public enum Kind {
    /** Responds with an error status. */
    ERROR,
    /** Increases the service time. */
    SLOW,
    /** Resets the connection instead of responding. */
    RESET,
    /** Sends half of the response body, then closes the connection. */
    TRUNCATE,
    /** Sends a response with neither Content-Length nor chunked framing. */
    UNFRAMED,
    /** Never responds. */
    HANG,
    /** Responds with 503 without running the request. */
    SHED
  }

  /**
   * Returns whether the rule applies to a request.
   *
   * @param concurrency number of requests that run
   * @param ageMillis time since the rule was set
   * @param randomDraw a uniform random number in [0, 1), compared with the fraction
   */
  boolean matches(
      String path, String requestCustomer, int concurrency, long ageMillis, double randomDraw) {
    return (pathPrefix == null || path.startsWith(pathPrefix))
        && (customer == null || customer.equals(requestCustomer))
        && concurrency >= fromConcurrency
        && ageMillis >= afterMillis
        && (fraction <= 0 || randomDraw < fraction);
  }
}
