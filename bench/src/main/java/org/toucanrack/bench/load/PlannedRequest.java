package org.toucanrack.bench.load;

/**
 * A scheduled request. Immutable and thread-safe.
 *
 * @param id the request id chosen by the caller
 * @param offsetNanos due time relative to the start of the run
 * @param customer the customer that sends the request
 * @param service the service
 * @param route the declared route
 * @param method the HTTP method
 * @param path the path after the service name
 * @param idempotent whether the request may be repeated
 * @param open whether the route needs no key
 * @param withinRate whether an exact token bucket with rate and burst of the customer admits it
 */
public record PlannedRequest(
    String id,
    long offsetNanos,
    String customer,
    String service,
    String route,
    String method,
    String path,
    boolean idempotent,
    boolean open,
    boolean withinRate) {

  /** Returns the request target: path and query. */
  public String target() {
    // The id is repeated in the query because entry VMs may drop unknown headers.
    return "/" + service + path + "?caller-request-id=" + id;
  }

  /** Returns the name of the route used in results. */
  public String routeName() {
    return service + "/" + route;
  }
}
