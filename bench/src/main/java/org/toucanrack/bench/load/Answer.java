package org.toucanrack.bench.load;

/**
 * The answer to one attempt. Immutable and thread-safe.
 *
 * @param status HTTP status code; 0 if there was no complete answer
 * @param verdict {@code ran}, {@code not-run} or {@code may-have-run}
 * @param body the response body, or the reason why there is none
 */
public record Answer(int status, String verdict, String body) {

  static final String RAN = "ran";
  static final String NOT_RUN = "not-run";
  static final String MAY_HAVE_RUN = "may-have-run";
  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;

  /** Returns whether it is certain that the request did not run. */
  public boolean isNotRun() {
    return NOT_RUN.equals(verdict);
  }

  /** Returns whether no connection could be established. */
  public boolean isUnreachable() {
    return status == 0 && isNotRun();
  }

  /** Returns whether the answer belongs to the request; backend servers echo its id on success. */
  public boolean matches(PlannedRequest request) {
    return status != OK || body.contains("\"" + request.id() + "\"");
  }

  /** Returns the outcome of the request if this is its last attempt. */
  public Outcome outcome() {
    if (isNotRun()) {
      return Outcome.REFUSED;
    }
    if (!RAN.equals(verdict)) {
      return Outcome.UNKNOWN;
    }
    return status >= SERVER_ERROR ? Outcome.FAILED : Outcome.ANSWERED;
  }
}
