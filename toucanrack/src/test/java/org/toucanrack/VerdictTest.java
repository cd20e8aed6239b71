package org.toucanrack;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a second run of a non-idempotent request. */
class VerdictTest {

  @Test
  void allowsRetryOfNonIdempotentRequestOnlyIfItHasNotRun() {
    assertTrue(Verdict.NOT_RUN.allowsRetry(false));
    assertFalse(Verdict.MAY_HAVE_RUN.allowsRetry(false));
    assertFalse(Verdict.RAN.allowsRetry(false));
  }

  @Test
  void allowsRetryOfIdempotentRequestThatMayHaveRun() {
    assertTrue(Verdict.MAY_HAVE_RUN.allowsRetry(true));
  }
}
