package org.toucanrack;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against repeats of requests that may have run. */
class VerdictTest {

  @Test
  void repeatsNonIdempotentRequestOnlyWhenItHasNotRun() {
    assertTrue(Verdict.NOT_RUN.allowsRepeat(false));
    assertFalse(Verdict.MAY_HAVE_RUN.allowsRepeat(false));
    assertFalse(Verdict.RAN.allowsRepeat(false));
  }

  @Test
  void repeatsIdempotentRequestWhenItsOutcomeIsUnknown() {
    assertTrue(Verdict.MAY_HAVE_RUN.allowsRepeat(true));
  }
}
