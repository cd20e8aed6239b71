package org.toucanrack.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.configuration.Customer;

/** Guards against measurements that compare different schedules or misjudge rates. */
class ScheduleTest {

  private static final int SECONDS = 10;

  private final Layout layout = Layout.read(Path.of("../examples/kalahari"));

  @Test
  void sameSeedGivesTheSameSchedule() {
    List<PlannedRequest> first = make(7, 0.5);
    List<PlannedRequest> second = make(7, 0.5);

    assertEquals(first, second);
  }

  @Test
  void demandWithinTheRateIsAllMarkedSo() {
    List<PlannedRequest> requests = make(1, 0.5);

    assertTrue(requests.stream().allMatch(PlannedRequest::withinRate));
  }

  @Test
  void noMoreThanRateAndBurstIsMarkedWithinRate() {
    Customer customer = layout.keyedCustomers().get(0);
    String name = customer.id().value();

    long within =
        make(1, 5).stream()
            .filter(request -> request.customer().equals(name) && request.withinRate())
            .count();

    double allowed = customer.requestsPerSecond() * SECONDS + customer.burst();
    assertTrue(within <= allowed && within > 0.95 * allowed, within + " of " + allowed);
  }

  private List<PlannedRequest> make(long seed, double multiple) {
    return new Schedule(layout, seed, "test").make(SECONDS, Schedule.Demand.constant(multiple));
  }
}
