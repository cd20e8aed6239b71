package org.toucanrack.internal.coordination.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.NANOS_PER_MILLISECOND;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.NANOS_PER_SECOND;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.NEW;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.OLD;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.draining;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.request;
import static org.toucanrack.internal.coordination.dispatch.DispatchFixture.server;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.dispatch.DispatchFixture.Recorder;

/** Guards against grants beyond the slots, unfair service and requests to unusable servers. */
class FairSlotDispatcherTest {

  private final FairSlotDispatcher dispatcher = new FairSlotDispatcher(8, now -> true);
  private final Recorder recorder = new Recorder();

  @Test
  void grantsNoMoreThanSlotsWhenServerIsReleasedAndReacquiredWhileBusy() {
    dispatcher.update(List.of(server("one", 1)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);

    dispatcher.update(List.of(), 1);
    dispatcher.update(List.of(server("one", 1)), 2);
    dispatcher.submit(request("a2", "acacia"), recorder, 3);

    assertEquals(1, recorder.grants.size());
  }

  @Test
  void ignoresSecondReleaseOfTheSameGrant() {
    dispatcher.update(List.of(server("one", 1)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);
    final SlotGrant first = recorder.last();
    dispatcher.release(first, SlotOutcome.SUCCEEDED, 1);
    dispatcher.submit(request("a2", "acacia"), recorder, 2);

    dispatcher.release(first, SlotOutcome.SUCCEEDED, 3);

    assertEquals(0, dispatcher.freeSlots(4));
  }

  @Test
  void servesBackloggedCustomerByWeightWhileAnotherFillsTheQueue() {
    dispatcher.update(List.of(server("one", 1)), 0);
    for (int turn = 0; turn < 60; turn++) {
      for (int copy = 0; copy < 5; copy++) {
        dispatcher.submit(request("big" + turn + "." + copy, "big"), recorder, turn);
      }
      dispatcher.submit(request("small" + turn, "small", 2, 60 * NANOS_PER_SECOND), recorder, turn);
      dispatcher.release(recorder.last(), SlotOutcome.SUCCEEDED, turn);
    }

    long small = recorder.grantsOf("small");
    assertTrue(small >= 38 && small <= 42, "weight 2 of 3 got " + small + " of 60");
  }

  @Test
  void dropsFromTheCustomerWithTheLargestBacklogForItsWeight() {
    dispatcher.update(List.of(server("one", 1)), 0);
    Recorder small = new Recorder();
    for (int copy = 0; copy < 9; copy++) {
      dispatcher.submit(request("big" + copy, "big"), recorder, 0);
    }

    dispatcher.submit(request("small", "small"), small, 0);

    assertEquals(List.of(ErrorCode.OVERLOADED), recorder.refusals);
    assertTrue(small.refusals.isEmpty());
  }

  @Test
  void refusesRequestWhoseDeadlinePassedInTheQueue() {
    dispatcher.update(List.of(server("one", 1)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);
    dispatcher.submit(request("a2", "acacia", 1, 5 * NANOS_PER_MILLISECOND), recorder, 0);

    dispatcher.release(recorder.last(), SlotOutcome.SUCCEEDED, 6 * NANOS_PER_MILLISECOND);

    assertEquals(List.of(ErrorCode.DEADLINE_EXCEEDED), recorder.refusals);
    assertEquals(1, recorder.grants.size());
  }

  /**
   * Guards against overload in which requests start just before their deadlines and waste slots.
   */
  @Test
  void refusesWaitingRequestWithLessTimeLeftThanTheServiceTime() {
    dispatcher.update(List.of(server("one", 1)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);
    dispatcher.release(recorder.last(), SlotOutcome.SUCCEEDED, 10 * NANOS_PER_MILLISECOND);
    dispatcher.submit(
        request("b1", "acacia", 1, 1000 * NANOS_PER_MILLISECOND),
        recorder,
        10 * NANOS_PER_MILLISECOND);
    dispatcher.submit(
        request("b2", "acacia", 1, 25 * NANOS_PER_MILLISECOND),
        recorder,
        10 * NANOS_PER_MILLISECOND);
    dispatcher.submit(
        request("b3", "acacia", 1, 1000 * NANOS_PER_MILLISECOND),
        recorder,
        10 * NANOS_PER_MILLISECOND);

    dispatcher.release(recorder.last(), SlotOutcome.SUCCEEDED, 20 * NANOS_PER_MILLISECOND);

    assertEquals(List.of(ErrorCode.DEADLINE_EXCEEDED), recorder.refusals);
    assertEquals("b3", recorder.last().requestId());
  }

  @Test
  void sendsNoNewRequestsToDrainingServerAndNotifiesWhenItIsIdle() {
    final boolean[] idle = new boolean[1];
    dispatcher.update(List.of(server("one", 2)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);
    dispatcher.update(List.of(draining(server("one", 2))), 1);
    dispatcher.whenIdle(new BackendServerId("one"), () -> idle[0] = true);

    dispatcher.submit(request("a2", "acacia"), recorder, 2);
    final boolean idleWhileBusy = idle[0];
    dispatcher.release(recorder.last(), SlotOutcome.SUCCEEDED, 3);

    assertEquals(List.of(ErrorCode.NO_CAPACITY), recorder.refusals);
    assertEquals(1, recorder.grants.size());
    assertTrue(!idleWhileBusy && idle[0]);
  }

  @Test
  void ejectsFailingServersButNeverMoreThanHalf() {
    dispatcher.update(List.of(server("one", 1), server("two", 1), server("three", 1)), 0);
    for (int turn = 0; turn < 100; turn++) {
      dispatcher.submit(request("a" + turn, "acacia"), recorder, turn);
      dispatcher.release(recorder.last(), SlotOutcome.FAILED, turn);
    }

    assertEquals(2, dispatcher.freeSlots(101));
  }

  @Test
  void prefersServersWithoutFailuresToThoseThatFail() {
    dispatcher.update(List.of(server("bad", 3), server("good", 3)), 0);
    for (int turn = 0; turn < 40; turn++) {
      dispatcher.submit(request("a" + turn, "acacia"), recorder, turn);
      boolean bad = recorder.last().server().id().value().equals("bad");
      dispatcher.release(recorder.last(), bad ? SlotOutcome.FAILED : SlotOutcome.SUCCEEDED, turn);
    }

    long bad = recorder.grants.stream().filter(g -> g.server().id().value().equals("bad")).count();
    assertTrue(bad <= 2, "the failing server got " + bad + " of 40");
  }

  @Test
  void lowersConcurrencyAfterServerShedsRequest() {
    dispatcher.update(List.of(server("one", 4)), 0);
    dispatcher.submit(request("a1", "acacia"), recorder, 0);

    dispatcher.release(recorder.last(), SlotOutcome.SHED, 1);

    assertEquals(2, dispatcher.freeSlots(2));
    assertEquals(4, dispatcher.freeSlots(1 + ServerHealth.REFUSAL_RECOVERY_NANOS));
  }

  @Test
  void routesOnlyRequestsForTheCandidateVersionToItsServers() {
    dispatcher.update(
        List.of(
            server("old", 1, OLD, VersionRole.CURRENT),
            server("new", 1, NEW, VersionRole.CANDIDATE)),
        0);

    dispatcher.submit(request("a1", "acacia"), recorder, 0);
    dispatcher.submit(request("a2", "acacia"), recorder, 0);
    dispatcher.submit(request("c1", NEW), recorder, 0);

    assertEquals("old", recorder.grants.get(0).server().id().value());
    assertEquals("new", recorder.grants.get(1).server().id().value());
    assertEquals("c1", recorder.grants.get(1).requestId());
    assertEquals(2, recorder.grants.size());
  }

  @Test
  void packsRequestsOfProbedVersionOnOneServer() {
    VersionRole probe = VersionRole.CANDIDATE_UNDER_PROBE;
    dispatcher.update(List.of(server("n1", 3, NEW, probe), server("n2", 3, NEW, probe)), 0);

    for (int copy = 0; copy < 3; copy++) {
      dispatcher.submit(request("c" + copy, NEW), recorder, 0);
    }

    assertEquals(1, recorder.grants.stream().map(g -> g.server().id()).distinct().count());
  }

  @Test
  void refusesWhenTheLeaseIsNotValid() {
    FairSlotDispatcher fenced = new FairSlotDispatcher(8, now -> now < 10);
    fenced.update(List.of(server("one", 1)), 0);

    fenced.submit(request("a1", "acacia"), recorder, 10);

    assertEquals(List.of(ErrorCode.LEASE_LOST), recorder.refusals);
  }

  @Test
  void limitsColdServersToOneConcurrentRequest() {
    OwnedServer warm = server("one", 4);
    dispatcher.update(
        List.of(new OwnedServer(warm.server(), 0, false, 4, warm.role(), OptionalLong.of(0), 0)),
        0);

    assertEquals(1, dispatcher.freeSlots(1));
    assertEquals(4, dispatcher.freeSlots(ServerHealth.SLOW_START_NANOS));
  }
}
