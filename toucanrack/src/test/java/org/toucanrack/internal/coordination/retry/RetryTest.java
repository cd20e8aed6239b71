package org.toucanrack.internal.coordination.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;

/** Guards against retries that multiply load or run a non-idempotent request twice. */
class RetryTest {

  @Property(tries = 200)
  void neverGrantsMoreExtraAttemptsThanTheFractionAndTheReserve(@ForAll List<Boolean> extra) {
    RetryBudget budget = new RetryBudget(0.1);
    int firsts = 0;
    int extras = 0;
    for (boolean isExtra : extra) {
      if (isExtra) {
        extras += budget.tryAcquireExtraAttempt() ? 1 : 0;
      } else {
        budget.recordFirstAttempt();
        firsts++;
      }
      assertTrue(extras <= RetryBudget.RESERVE_ATTEMPTS + 0.1 * firsts + 1e-9);
    }
  }

  @Test
  void retriesRequestsThatMayHaveRunOnlyIfIdempotentAndInTime() {
    ErrorCode code = ErrorCode.BACKEND_FAILED;

    assertTrue(RetryRules.allowsRetry(Verdict.MAY_HAVE_RUN, code, true, 1, 10_000_000));
    assertFalse(RetryRules.allowsRetry(Verdict.MAY_HAVE_RUN, code, false, 1, 10_000_000));
    assertTrue(RetryRules.allowsRetry(Verdict.NOT_RUN, code, false, 2, 10_000_000));
    assertFalse(RetryRules.allowsRetry(Verdict.NOT_RUN, code, false, 3, 10_000_000));
    assertFalse(RetryRules.allowsRetry(Verdict.NOT_RUN, code, false, 1, 1_000_000));
  }

  @Test
  void estimatesThe95thPercentile() {
    HedgeDelay delay = new HedgeDelay();
    Random random = new Random(1);
    for (int i = 0; i < 20_000; i++) {
      delay.record((long) (random.nextDouble() * 100_000_000));
    }

    assertEquals(95e6, delay.delayNanos().orElseThrow(), 10e6);
  }

  @Test
  void remembersCancellationsOnlyUntilTheLongestDeadline() {
    RunningRequests<String> requests = new RunningRequests<>(100);
    requests.cancel("early", 0);
    requests.cancel("old", 0);

    assertFalse(requests.start("early", "x", 50));
    assertTrue(requests.start("old", "x", 101));
    assertEquals("x", requests.cancel("old", 102).orElseThrow());
  }
}
