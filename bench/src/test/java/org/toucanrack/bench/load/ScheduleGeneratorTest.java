package org.toucanrack.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.configuration.Customer;

/** Guards against comparing runs with different schedules and against wrong within-rate marks. */
class ScheduleGeneratorTest {

  private static final int SECONDS = 10;

  private final Layout layout = Layout.read(Path.of("../examples/kalahari"));

  @Test
  void sameSeedGivesTheSameSchedule() {
    List<PlannedRequest> first = generate(7, 0.5);
    List<PlannedRequest> second = generate(7, 0.5);

    assertEquals(first, second);
  }

  @Test
  void requestsBelowTheRateAreAllMarkedWithinRate() {
    List<PlannedRequest> requests = generate(1, 0.5);

    assertTrue(requests.stream().allMatch(PlannedRequest::withinRate));
  }

  @Test
  void requestsMarkedWithinRateDoNotExceedRateAndBurst() {
    Customer customer = layout.keyedCustomers().get(0);
    String name = customer.id().value();

    long markedWithinRate =
        generate(1, 5).stream()
            .filter(request -> request.customer().equals(name) && request.withinRate())
            .count();

    double allowed = customer.requestsPerSecond() * SECONDS + customer.burst();
    assertTrue(
        markedWithinRate <= allowed && markedWithinRate > 0.95 * allowed,
        markedWithinRate + " of " + allowed);
  }

  private List<PlannedRequest> generate(long seed, double multiplier) {
    return new ScheduleGenerator(layout, seed, "test")
        .generate(SECONDS, ScheduleGenerator.Demand.constant(multiplier));
  }
}
