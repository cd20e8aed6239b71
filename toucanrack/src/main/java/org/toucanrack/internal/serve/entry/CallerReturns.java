package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** Tells refused callers when to come back. Stateless and thread-safe. */
final class CallerReturns {

  private CallerReturns() {}

  /**
   * Spreads the retries of refused requests over half a latency objective, from a quarter of it on,
   * or from the time on at which the first pause of a server is over.
   */
  static Duration spread(AdmittedRequest request, long untilEligibleMillis) {
    long objectiveMillis = request.route().latencyObjective().toMillis();
    return Duration.ofMillis(
        Math.max(objectiveMillis / 4, untilEligibleMillis)
            + ThreadLocalRandom.current().nextLong(objectiveMillis / 2));
  }
}
