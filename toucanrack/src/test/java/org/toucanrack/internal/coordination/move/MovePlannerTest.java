package org.toucanrack.internal.coordination.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.MoveId;
import org.toucanrack.id.ServiceId;

/** Guards against steps over the cap, steps that take effect twice and moves that never end. */
class MovePlannerTest {

  private static final long NANOS_PER_MILLISECOND = 1_000_000L;
  private static final long WINDOW_MILLIS = 1_000;
  private static final MoveConditions GOOD = new MoveConditions(1, 1, 1);

  private final MovePlanner planner = new MovePlanner();

  /** What one VM last read: a record, its version and when it was first read. */
  private static final class View {
    private MoveRecord record;
    private long version = -1;
    private long firstReadNanos;
  }

  @Property(tries = 200)
  void vmsWithStaleViewsKeepTheCapInAnyWindowAndReachFinalState(@ForAll long seed) {
    Random random = new Random(seed);
    View[] views = {new View(), new View(), new View()};
    MoveRecord stored = record(0.2, 8_000 + random.nextInt(10_000));
    long version = 0;
    long abortAt = random.nextInt(20_000);
    long lastChange = -WINDOW_MILLIS;
    for (long now = 0; now < 60_000; now += 1 + random.nextInt(200)) {
      View view = views[random.nextInt(views.length)];
      if (random.nextInt(3) > 0 && view.version != version) {
        view.record = stored;
        view.version = version;
        view.firstReadNanos = now * NANOS_PER_MILLISECOND;
      }
      Optional<MoveRecord> next = next(view, random, now, now >= abortAt && seed % 2 == 0);
      if (next.isPresent() && view.version == version) {
        double change = Math.abs(next.get().split() - stored.split());
        assertTrue(change <= 0.2 + 1e-9, "changed by " + change);
        assertTrue(change == 0 || now - lastChange >= WINDOW_MILLIS, "changed too early");
        lastChange = change > 0 ? now : lastChange;
        stored = next.get();
        version++;
      }
    }

    assertTrue(stored.state().isFinal(), stored.toString());
    assertTrue(stored.split() == (stored.state() == MoveState.DONE ? 1 : 0));
  }

  @Test
  void waitsForHeadroomAndWarmServersAndStatesTheReason() {
    MoveConditions withoutHeadroom = new MoveConditions(0.1, 1, 1);
    MoveConditions cold = new MoveConditions(1, 1, 0.5);

    MoveRecord first = plan(record(0.2, 60_000), withoutHeadroom, 1_000).next().orElseThrow();
    MoveRecord second = plan(record(0.2, 60_000), cold, 1_000).next().orElseThrow();

    assertEquals(0, first.split());
    assertEquals(
        "Waiting: erongo has headroom for 10.0% of the traffic, the step needs 20.0%.",
        first.reason());
    assertEquals(0, second.split());
    assertEquals(59_000, second.remainingMillis());
  }

  @Test
  void takesBackInStepsAtTheDeadline() {
    MoveRecord record = record(0.2, 500).with(MoveState.RUNNING, 0.4, 500, "");

    MoveRecord first = plan(record, GOOD, 1_000).next().orElseThrow();
    MoveRecord second = plan(first, GOOD, 1_000).next().orElseThrow();

    assertEquals(MoveState.TAKING_BACK, first.state());
    assertEquals(0.2, first.split(), 1e-9);
    assertEquals(MoveState.TAKEN_BACK, second.state());
  }

  @Test
  void abortShiftsNoTrafficAndFailsAfterTheLastStep() {
    MoveRecord record = record(0.2, 60_000).with(MoveState.RUNNING, 0.8, 60_000, "");

    MoveRecord aborted = planner.abort(record);
    MoveRecord done = plan(record, GOOD, 1_000).next().orElseThrow();

    assertEquals(0.8, aborted.split());
    assertEquals(MoveState.DONE, done.state());
    assertThrows(ToucanrackException.class, () -> planner.abort(done));
  }

  @Test
  void waitsForHeadroomOfTheSourceBeforeTakingBack() {
    MoveRecord aborted =
        planner.abort(record(0.2, 60_000).with(MoveState.RUNNING, 0.4, 60_000, ""));

    assertTrue(plan(aborted, new MoveConditions(1, 0.1, 1), 1_000).next().isEmpty());
  }

  @Test
  void keepsRecordThroughJsonAndIgnoresFieldsOfLaterReleases() {
    MoveRecord record = record(0.2, 60_000);

    String json = record.toJson();

    assertEquals(record, MoveRecord.fromJson(json));
    assertEquals(record, MoveRecord.fromJson(json.replaceFirst("\\{", "{\"later\":1,")));
  }

  private Optional<MoveRecord> next(View view, Random random, long now, boolean abort) {
    if (view.record == null) {
      return Optional.empty();
    }
    if (abort && !view.record.abortRequested() && !view.record.state().isFinal()) {
      return Optional.of(planner.abort(view.record));
    }
    MoveConditions conditions = random.nextInt(4) == 0 ? new MoveConditions(0, 0, 0) : GOOD;
    return planner
        .plan(view.record, view.firstReadNanos, conditions, now * NANOS_PER_MILLISECOND)
        .next();
  }

  private MoveDecision plan(MoveRecord record, MoveConditions conditions, long atMillis) {
    return planner.plan(record, 0, conditions, atMillis * NANOS_PER_MILLISECOND);
  }

  private static MoveRecord record(double step, long remainingMillis) {
    return new MoveRecord(
        new MoveId("m1"),
        new ServiceId("catalogue"),
        "khomas",
        "erongo",
        0.2,
        step,
        WINDOW_MILLIS,
        remainingMillis,
        MoveState.RUNNING,
        0,
        false,
        "Started.");
  }
}
