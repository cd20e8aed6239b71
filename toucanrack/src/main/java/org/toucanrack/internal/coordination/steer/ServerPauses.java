package org.toucanrack.internal.coordination.steer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The times in which a server gets no requests: after failures and refusals, and because it asked
 * for it. Not thread-safe.
 */
final class ServerPauses {

  /** Pause after a first failure to connect; doubled with each consecutive failure. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Pause of a server that refused a request for lack of capacity. */
  private static final long SHED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Consecutive failures after which a server is paused although it can be reached. */
  private static final int CONSECUTIVE_FAILURES_UNTIL_PAUSE = 3;

  private int consecutiveFailures;
  private long faultPauseEndNanos;
  private long requestedPauseEndNanos;
  private boolean answerMissing;

  ServerPauses(long nowNanos) {
    this.faultPauseEndNanos = nowNanos;
    this.requestedPauseEndNanos = nowNanos;
  }

  void recordAnswer(long nowNanos) {
    consecutiveFailures = 0;
    answerMissing &= isRequested(nowNanos);
  }

  /** Records that the server refused a request for lack of capacity. */
  void recordRefusal(long nowNanos) {
    faultPauseEndNanos = Math.max(faultPauseEndNanos, nowNanos + SHED_PAUSE_NANOS);
  }

  /**
   * Records an attempt that ended without an answer.
   *
   * @param connected whether the server could be reached
   */
  void recordFailure(boolean connected, long nowNanos) {
    consecutiveFailures++;
    if (!connected || consecutiveFailures >= CONSECUTIVE_FAILURES_UNTIL_PAUSE) {
      int doublings = Math.min(3, Math.max(0, consecutiveFailures - 1));
      faultPauseEndNanos = nowNanos + Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << doublings);
    }
  }

  /** Records that the server wants no requests for some time; an earlier, longer pause holds. */
  void recordRequest(Duration pause, long nowNanos) {
    long endNanos = nowNanos + pause.toNanos();
    if (endNanos - requestedPauseEndNanos > 0) {
      requestedPauseEndNanos = endNanos;
    }
    answerMissing = true;
  }

  /** Returns whether a pause that the server asked for is not over yet. */
  boolean isRequested(long nowNanos) {
    return nowNanos - requestedPauseEndNanos < 0;
  }

  /** Returns whether the server has not answered since the end of a pause that it asked for. */
  boolean isAnswerMissing() {
    return answerMissing;
  }

  boolean isPausedForFaults(long nowNanos) {
    return nowNanos < faultPauseEndNanos;
  }

  long faultPauseEndNanos() {
    return faultPauseEndNanos;
  }

  /** Returns the time until all pauses are over. */
  long remainingNanos(long nowNanos) {
    return Math.max(0, Math.max(requestedPauseEndNanos - nowNanos, faultPauseEndNanos - nowNanos));
  }
}
