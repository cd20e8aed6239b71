package org.toucanrack.internal.coordination.steer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.coordination.steer.SteeringSimulation.Outcome;
import org.toucanrack.internal.coordination.steer.SteeringSimulation.Parameters;
import org.toucanrack.internal.coordination.steer.SteeringSimulation.Region;

class SlowServiceSteeringTest {

  private static final Duration DURATION = Duration.ofSeconds(40);
  private static final int SEED_COUNT = 10;

  /**
   * Worth that users require of each kind of request in calm operation, as a fraction of the
   * possible worth.
   */
  private static final double REQUIRED_WORTH = 0.33;

  // Guards against a slow service that answers late all day, although affinity hits would use less
  // than 60 % of the capacity of its servers.
  @Test
  void slowServicesWithSpareCapacityReachTheRequiredWorth() {
    for (double requestsPerSecond : new double[] {16, 20, 24}) {
      for (long seed = 1; seed <= SEED_COUNT; seed++) {
        Outcome outcome =
            new SteeringSimulation(slowService(requestsPerSecond), seed).run(DURATION);

        assertTrue(
            outcome.worth() >= REQUIRED_WORTH,
            requestsPerSecond + " requests a second, seed " + seed + ": " + outcome);
      }
    }
  }

  private static Parameters slowService(double requestsPerSecond) {
    return new Parameters(
        Map.of(
            "few", new Region(4, 2, requestsPerSecond / 3),
            "some", new Region(3, 4, requestsPerSecond / 3),
            "many", new Region(3, 6, requestsPerSecond / 3)),
        3,
        24,
        Duration.ofMillis(2560),
        Duration.ofMillis(1500),
        Duration.ofSeconds(4));
  }
}
