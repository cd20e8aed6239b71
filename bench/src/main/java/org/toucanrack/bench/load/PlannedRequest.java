package org.toucanrack.bench.load;

/**
 * A request of the schedule.
 *
 * @param id the caller's own id
 * @param offsetNanos when it is due, from the start of the run
 * @param customer who sends it
 * @param service the service
 * @param route the declared route
 * @param method the HTTP method
 * @param path the path after the service name
 * @param idempotent whether it may be repeated
 * @param open whether it needs no key
 * @param withinRate whether an exact token bucket of the customer admits it
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

  /** Returns the full request target. */
  public String target() {
    // The id is in the query as well, since entry VMs may drop headers that they do not know.
    return "/" + service + path + "?caller-request-id=" + id;
  }

  /** Returns the name of the route in results. */
  public String routeName() {
    return service + "/" + route;
  }
}
