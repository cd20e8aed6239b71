package org.toucanrack.internal.coordination.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.rollout.VersionSelector.Observation;
import org.toucanrack.internal.state.VersionShare;

/**
 * Guards against over-exposure, late or false alarms, and stopped versions that get traffic again
 * without a new declaration.
 */
class RolloutTest {

  private static final ServiceId SERVICE = new ServiceId("orders");
  private static final VersionId OLD = new VersionId("v1");
  private static final VersionId NEW = new VersionId("v2");
  private static final RouteId ROUTE = new RouteId("place");
  private static final CustomerId CUSTOMER = new CustomerId("acacia");

  private final List<String> faults = new ArrayList<>();
  private final RolloutSelector selector =
      new RolloutSelector((service, version, reason) -> faults.add(reason));
  private final RolloutPlanner planner = new RolloutPlanner();

  @Property(tries = 200)
  void exposesAtMostTheCeilingOfTheShare(
      @ForAll @DoubleRange(min = 0, max = 1) double share,
      @ForAll @IntRange(min = 1, max = 4) int burst) {
    ExposureCounter exposure = new ExposureCounter();
    exposure.setShare(share, burst);
    int exposed = 0;

    for (int requests = 1; requests <= 500; requests++) {
      exposed += exposure.tryExpose() ? 1 : 0;
      assertTrue(exposed <= Math.ceil(share * requests));
    }

    assertTrue(exposed >= Math.floor(share * 500) - burst);
  }

  @Test
  void stopsVersionThatFailsAfterFewRequestsAndReportsOnce() {
    selector.update(Map.of(SERVICE, OLD), List.of(new VersionShare(SERVICE, NEW, 0.05)));

    int exposed = run(2000, 0.002, 0.5, 1, 1);

    assertTrue(exposed <= 30, exposed + " exposed");
    assertEquals(1, faults.size());
  }

  @Test
  void stopsVersionThatIsSlow() {
    selector.update(Map.of(SERVICE, OLD), List.of(new VersionShare(SERVICE, NEW, 0.05)));

    int exposed = run(4000, 0.002, 0.002, 3, 2);

    assertTrue(exposed <= 60, exposed + " exposed");
  }

  @Test
  void raisesNoFalseAlarmForEqualVersionsWithManyErrorsAndChangingShares() {
    int alarms = 0;
    for (int seed = 0; seed < 200; seed++) {
      RolloutTest fresh = new RolloutTest();
      for (double share : new double[] {0.01, 0.05, 0.2, 0.5, 0.8}) {
        fresh.selector.update(Map.of(SERVICE, OLD), List.of(new VersionShare(SERVICE, NEW, share)));
        fresh.run(1000, 0.1, 0.1, 1, seed);
      }
      alarms += fresh.faults.size();
    }

    assertEquals(0, alarms);
  }

  @Test
  void keepsStoppedVersionStoppedUntilItIsDeclaredAnew() {
    List<VersionShare> shares = List.of(new VersionShare(SERVICE, NEW, 1));
    selector.updateDeclarations(List.of(declared(1)));
    selector.update(Map.of(SERVICE, OLD), shares);
    selector.stop(SERVICE, NEW);

    selector.update(Map.of(SERVICE, OLD), List.of());
    selector.updateDeclarations(List.of(declared(1)));
    selector.update(Map.of(SERVICE, OLD), shares);
    final VersionId before = selector.select(SERVICE, ROUTE, CUSTOMER, 0);
    selector.updateDeclarations(List.of(declared(2)));
    selector.update(Map.of(SERVICE, OLD), shares);

    assertEquals(OLD, before);
    assertEquals(NEW, selector.select(SERVICE, ROUTE, CUSTOMER, 0));
  }

  @Test
  void reachesFullShareBeforeTheCarryByTimeAndNotAtOnce() {
    RolloutRecord record = planner.initialRecord(declared(1));
    Duration seen = Duration.ZERO;
    long halfAt = 0;
    for (long second = 0; second < 600; second++) {
      Optional<RolloutRecord> next =
          planner.plan(record, declared(1), seen, Duration.ofSeconds(600 - second));
      seen = next.isPresent() ? Duration.ZERO : seen.plusSeconds(1);
      record = next.orElse(record);
      halfAt = record.share() < 0.5 ? second : halfAt;
    }

    assertEquals(RolloutState.COMPLETE, record.state());
    assertTrue(halfAt > 200, "half of the traffic after " + halfAt + " s");
  }

  @Test
  void plansNothingForVersionThatWasTakenBackUntilItIsDeclaredAnew() {
    RolloutRecord record = planner.initialRecord(declared(1)).takenBack("Too many errors.");
    Duration hour = Duration.ofHours(1);

    assertTrue(planner.plan(record, declared(1), hour, hour).isEmpty());
    assertEquals(
        RolloutState.EXPOSING, planner.plan(record, declared(2), hour, hour).get().state());
    assertEquals(record, RolloutRecord.fromJson(record.toJson()));
  }

  @Test
  void slowWarmUpAnswersOfTheCandidateAreNoFault() {
    selector.update(Map.of(SERVICE, OLD), List.of(new VersionShare(SERVICE, NEW, 0.05)));
    run(300, 0, 0, 50, 3);

    assertFalse(isFaultReported());
  }

  private boolean isFaultReported() {
    return !faults.isEmpty();
  }

  private int run(int requests, double oldErrors, double newErrors, double newLatency, int seed) {
    Random random = new Random(seed);
    int exposed = 0;
    for (int request = 0; request < requests; request++) {
      VersionId version = selector.select(SERVICE, ROUTE, CUSTOMER, request);
      boolean candidate = version.equals(NEW);
      exposed += candidate ? 1 : 0;
      boolean failed = random.nextDouble() < (candidate ? newErrors : oldErrors);
      double latency = 1e7 * Math.exp(0.4 * random.nextGaussian());
      selector.observe(
          new Observation(
              SERVICE,
              version,
              ROUTE,
              CUSTOMER,
              failed,
              (long) (candidate ? latency * newLatency : latency),
              request));
    }
    return exposed;
  }

  private static ServiceVersion declared(int declaration) {
    return new ServiceVersion(SERVICE, NEW, declaration, Optional.of(Instant.EPOCH));
  }
}
