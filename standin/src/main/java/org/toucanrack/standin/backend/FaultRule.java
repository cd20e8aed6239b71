package org.toucanrack.standin.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A fault that a backend server shows for some of its requests.
 *
 * @param kind what happens
 * @param pathPrefix only requests whose path starts so; null for all
 * @param customer only requests of this customer; null for all
 * @param fromConcurrency only while at least this many requests run
 * @param afterMillis only from this time after the rule was set
 * @param fraction of the requests that match, 0 to 1; 0 means all
 * @param status status code of {@code ERROR}; 500 by default
 * @param delayMillis extra service time of {@code SLOW}
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

  /** What happens to a request. All kinds but {@code SHED} happen after the request ran. */
  public enum Kind {
    /** Answers with an error status. */
    ERROR,
    /** Takes longer. */
    SLOW,
    /** Resets the connection after reading the request. */
    RESET,
    /** Sends half of the body, then closes the connection. */
    TRUNCATE,
    /** Sends a response with neither Content-Length nor chunked framing. */
    UNFRAMED,
    /** Never answers. */
    HANG,
    /** Answers 503 without running the request. */
    SHED
  }

  /** Returns whether a request is concerned. */
  boolean matches(
      String path, String requestCustomer, int concurrency, long ageMillis, double randomDraw) {
    return (pathPrefix == null || path.startsWith(pathPrefix))
        && (customer == null || customer.equals(requestCustomer))
        && concurrency >= fromConcurrency
        && ageMillis >= afterMillis
        && (fraction <= 0 || randomDraw < fraction);
  }
}
