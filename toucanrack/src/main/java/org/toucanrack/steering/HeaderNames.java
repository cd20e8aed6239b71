package org.toucanrack.steering;

import java.util.Objects;

/**
 * The header fields by which callers, entry VMs and backend servers understand each other.
 * Immutable and thread-safe.
 *
 * @param requestId identifies one attempt of a caller; servers repeat it
 * @param deadlineMillis how long the caller still waits
 * @param objectCookie the cookie that names the object a request is about
 * @param expectedServer the server that a request is meant for; another one answers 421
 * @param customer tells the server whose key the request carried
 * @param notRun set on answers to requests that the server did not run
 * @param serverLoad running requests, waiting requests and slots of the server
 * @param signature proves that an answer is the server's own
 */
public record HeaderNames(
    String requestId,
    String deadlineMillis,
    String objectCookie,
    String expectedServer,
    String customer,
    String notRun,
    String serverLoad,
    String signature) {

  /** Rejects missing names. */
  public HeaderNames {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(deadlineMillis, "deadlineMillis");
    Objects.requireNonNull(objectCookie, "objectCookie");
    Objects.requireNonNull(expectedServer, "expectedServer");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(notRun, "notRun");
    Objects.requireNonNull(serverLoad, "serverLoad");
    Objects.requireNonNull(signature, "signature");
  }
}
