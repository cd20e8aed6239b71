package org.toucanrack.internal.coordination.retry;

import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;

/** Decides which failed attempts may be retried. Stateless and thread-safe. */
public final class RetryRules {

  /** Attempts of one request, including the first. */
  public static final int MAX_ATTEMPTS = 3;

  private static final long MIN_REMAINING_NANOS = 5_000_000L;

  private RetryRules() {}

  /** Returns whether another attempt is allowed; the retry budget is checked separately. */
  public static boolean allowsRetry(
      Verdict verdict, ErrorCode code, boolean idempotent, int attempts, long remainingNanos) {
    return attempts < MAX_ATTEMPTS
        && remainingNanos > MIN_REMAINING_NANOS
        && verdict.allowsRetry(idempotent)
        && isRetryable(code);
  }

  private static boolean isRetryable(ErrorCode code) {
    return switch (code) {
      case INVALID_REQUEST, BODY_TOO_LARGE, DEADLINE_EXCEEDED, FORBIDDEN -> false;
      default -> true;
    };
  }
}
