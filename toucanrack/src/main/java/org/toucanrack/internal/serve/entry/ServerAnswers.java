package org.toucanrack.internal.serve.entry;

import org.toucanrack.internal.coordination.steer.TrialEvidence.Result;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.steering.HeaderNames;

/** Judges the answers of backend servers. Stateless and thread-safe. */
final class ServerAnswers {

  static final int MISDIRECTED = 421;
  static final int FIRST_SERVER_ERROR = 500;
  static final int UNAVAILABLE = 503;
  static final int TOO_MANY_REQUESTS = 429;

  /** An answer counts as slow if it takes longer than this multiple of the latency objective. */
  private static final double SLOW_FACTOR = 2;

  private static final int REQUEST_TIMEOUT = 408;
  private static final int GATEWAY_TIMEOUT = 504;

  private ServerAnswers() {}

  /** Returns whether an answer says that the request has not run. */
  static boolean isNotRun(HttpMessage answer, HeaderNames names) {
    return answer.field(names.notRun()).isPresent() || answer.status() == MISDIRECTED;
  }

  /**
   * Returns whether an answer may be passed to the caller. A refusal that is not marked as not run
   * and an answer without signature or with a content encoding are rejected.
   */
  static boolean isTrustworthy(HttpMessage answer, HeaderNames names) {
    int status = answer.status();
    boolean isUnmarkedRefusal =
        status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == REQUEST_TIMEOUT;
    return !isUnmarkedRefusal
        && answer.field(names.signature()).isPresent()
        && answer.field("Content-Encoding").isEmpty();
  }

  /** Returns how an answer counts for the version of its server. */
  static Result trialResult(int status, long durationNanos, long objectiveNanos) {
    if (status == GATEWAY_TIMEOUT) {
      return Result.SLOW;
    }
    if (status >= FIRST_SERVER_ERROR) {
      return Result.FAILED;
    }
    return durationNanos > SLOW_FACTOR * objectiveNanos ? Result.SLOW : Result.GOOD;
  }
}
