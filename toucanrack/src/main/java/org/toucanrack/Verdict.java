package org.toucanrack;

/**
 * Says whether a request may have run on a backend server.
 *
 * <pre>{@code
 * if (verdict.allowsRetry(route.idempotent())) {
 *   retry(request);
 * }
 * }</pre>
 */
public enum Verdict {
  /** A backend server answered the request. */
  RAN("ran"),
  /** No backend server has started the request, and none will. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request. */
  MAY_HAVE_RUN("may-have-run");

  private final String headerValue;

  Verdict(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value used in the {@code Toucanrack-Verdict} header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns whether a request with this verdict may be sent once more. */
  public boolean allowsRetry(boolean idempotent) {
    return this == NOT_RUN || (this == MAY_HAVE_RUN && idempotent);
  }
}
