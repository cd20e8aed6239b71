package org.toucanrack.internal.coordination.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.state.TrafficSplit;

/**
 * Guards against shifts over the cap in any window, with stale and abruptly changing views of a
 * move.
 */
class ShiftWindowGateTest {

  private static final long NANOS_PER_MILLISECOND = 1_000_000L;
  private static final long WINDOW_NANOS = 1_000 * NANOS_PER_MILLISECOND;
  private static final double CAP = 0.2;
  private static final ServiceId SERVICE = new ServiceId("catalogue");
  private static final FailureDomainId SOURCE = new FailureDomainId("khomas-1");
  private static final FailureDomainId TARGET = new FailureDomainId("erongo-1");
  private static final ShiftRule RULE = new ShiftRule(CAP, Duration.ofSeconds(1));

  private record Arrival(long atNanos, boolean shifted, double split) {}

  @Property(tries = 100)
  void keepsCapInAnyWindowWhicheverSplitsAreSeen(@ForAll long seed) {
    Random random = new Random(seed);
    ShiftWindowGate gate = new ShiftWindowGate(RULE);
    gate.updateSplits(SOURCE, List.of(), 0);
    List<Arrival> arrivals = new ArrayList<>();

    long now = 0;
    for (int step = 0; step < 3000; step++) {
      now += random.nextInt(5) * NANOS_PER_MILLISECOND;
      if (random.nextInt(200) == 0) {
        gate.updateSplits(SOURCE, List.of(split(random.nextInt(11) / 10.0)), now);
      }
      gate.recordArrival(SERVICE, now);
      double applied = gate.split(SERVICE, now).getOrDefault(TARGET, 0.0);
      arrivals.add(new Arrival(now, gate.tryShift(SERVICE, SOURCE, TARGET, now), applied));
    }

    assertCapHolds(arrivals);
  }

  @Test
  void boundsFailoverOfAllTrafficToTheCap() {
    ShiftWindowGate gate = new ShiftWindowGate(RULE);
    int shifted = 0;

    for (int step = 0; step < 1000; step++) {
      gate.recordArrival(SERVICE, step * NANOS_PER_MILLISECOND);
      shifted += gate.tryShift(SERVICE, SOURCE, TARGET, step * NANOS_PER_MILLISECOND) ? 1 : 0;
    }

    assertEquals(190, shifted, 1);
  }

  @Test
  void accumulatesNoPermitsWhileNothingIsShifted() {
    ShiftWindowGate gate = new ShiftWindowGate(RULE);
    for (int step = 0; step < 1000; step++) {
      gate.recordArrival(SERVICE, step * NANOS_PER_MILLISECOND);
    }

    boolean first = gate.tryShift(SERVICE, SOURCE, TARGET, 1000 * NANOS_PER_MILLISECOND);
    boolean second = gate.tryShift(SERVICE, SOURCE, TARGET, 1000 * NANOS_PER_MILLISECOND);

    assertTrue(first && !second);
  }

  @Test
  void takesBackInCappedStepsWhenTheSplitDisappears() {
    ShiftWindowGate gate = new ShiftWindowGate(RULE);
    gate.updateSplits(SOURCE, List.of(split(0.5)), 0);

    gate.updateSplits(SOURCE, List.of(), NANOS_PER_MILLISECOND);

    assertEquals(0.5 - 0.19, gate.split(SERVICE, 2 * NANOS_PER_MILLISECOND).get(TARGET), 1e-9);
    assertEquals(
        0.5 - 0.38,
        gate.split(SERVICE, WINDOW_NANOS + 2 * NANOS_PER_MILLISECOND).get(TARGET),
        1e-9);
  }

  private static TrafficSplit split(double fraction) {
    return new TrafficSplit(SERVICE, SOURCE, Map.of(TARGET, fraction));
  }

  private static void assertCapHolds(List<Arrival> arrivals) {
    for (int start = 0; start < arrivals.size(); start++) {
      double before = start == 0 ? 0 : arrivals.get(start - 1).split();
      double excess = 0;
      int count = 0;
      for (int index = start; index < arrivals.size(); index++) {
        Arrival arrival = arrivals.get(index);
        if (arrival.atNanos() - arrivals.get(start).atNanos() >= WINDOW_NANOS) {
          break;
        }
        count++;
        excess += (arrival.shifted() ? 1 : 0) - before;
        assertTrue(excess <= CAP * count + 2, "shifted over the cap from " + start);
        assertTrue(Math.abs(arrival.split() - before) <= CAP + 1e-9, "split changed over the cap");
      }
    }
  }
}
