package org.toucanrack;

/**
 * States what is known about whether a backend server ran a request, which decides whether a retry
 * is safe.
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

  /** Returns the value of the {@code Toucanrack-Verdict} header. */
  public String headerValue() {
    return headerValue;
  }

  /** Returns whether a request with this verdict may be sent again. */
  public boolean allowsRetry(boolean idempotent) {
    return this == NOT_RUN || (this == MAY_HAVE_RUN && idempotent);
  }
}
