package org.toucanrack.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

class LeaseTrackerTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final Incarnation SELF = new Incarnation(new VmId("a"), 1);
  private static final Incarnation PEER = new Incarnation(new VmId("b"), 2);
  private static final Set<Incarnation> MEMBERS = Set.of(SELF, PEER);

  private final LeaseTracker tracker = new LeaseTracker(SELF, 0);

  @BeforeEach
  void renewOnce() {
    tracker.tick(NANOS_PER_SECOND);
    tracker.heartbeatSent(1, NANOS_PER_SECOND);
    tracker.tick(3 * NANOS_PER_SECOND);
    tracker.renewed(5, 1, NANOS_PER_SECOND);
  }

  private boolean permits(long now) {
    return tracker.view(MEMBERS, now).permitsDispatch(now);
  }

  private void runUntil(long second) {
    for (long at = 3; at <= second; at++) {
      tracker.tick(at * NANOS_PER_SECOND);
    }
  }

  /**
   * Guards against a lease counted from its answer, which would outlast the wait before a takeover.
   */
  @Test
  void leaseStartsBeforeTheHeartbeatIsSent() {
    runUntil(11);

    long validUntil = tracker.view(MEMBERS, 11 * NANOS_PER_SECOND).validUntilNanos();

    assertEquals(11 * NANOS_PER_SECOND, validUntil);
    assertTrue(permits(11 * NANOS_PER_SECOND - 1));
    assertFalse(permits(11 * NANOS_PER_SECOND));
  }

  /** Guards against answers that arrive out of order and restore the ownership of an older row. */
  @Test
  void ignoresRenewalInAnOlderRow() {
    tracker.heartbeatSent(2, 3 * NANOS_PER_SECOND);

    tracker.renewed(4, 2, 3 * NANOS_PER_SECOND);

    assertEquals(
        11 * NANOS_PER_SECOND, tracker.view(MEMBERS, 3 * NANOS_PER_SECOND).validUntilNanos());
  }

  /** Guards against use of resources after a pause before any newer answer has arrived. */
  @Test
  void pauseFencesUntilRequestSentAfterwardsIsAnswered() {
    boolean paused = tracker.tick(6 * NANOS_PER_SECOND);
    final boolean afterPause = permits(6 * NANOS_PER_SECOND);

    tracker.renewed(5, 1, 2 * NANOS_PER_SECOND);
    final boolean afterAnswerFromBeforePause = permits(6 * NANOS_PER_SECOND);
    tracker.peerAnswered(PEER, true, 5, 6 * NANOS_PER_SECOND);

    assertTrue(paused);
    assertFalse(afterPause);
    assertFalse(afterAnswerFromBeforePause);
    assertTrue(permits(6 * NANOS_PER_SECOND));
  }

  /**
   * Guards against isolated mode while a peer reaches the store, has a newer row or has not
   * answered.
   */
  @Test
  void isolatedModeRequiresReportsFromAllMembers() {
    runUntil(12);
    tracker.storeAttempted(false, 11 * NANOS_PER_SECOND);
    final boolean beforePeerAnswer = permits(12 * NANOS_PER_SECOND);
    tracker.peerAnswered(PEER, true, 5, 11 * NANOS_PER_SECOND);
    final boolean peerReachesStore = permits(12 * NANOS_PER_SECOND);
    tracker.peerAnswered(PEER, false, 6, 11 * NANOS_PER_SECOND);
    final boolean peerHasNewerRow = permits(12 * NANOS_PER_SECOND);

    tracker.peerAnswered(PEER, false, 5, 11 * NANOS_PER_SECOND);

    assertFalse(beforePeerAnswer);
    assertFalse(peerReachesStore);
    assertFalse(peerHasNewerRow);
    assertTrue(permits(12 * NANOS_PER_SECOND));
  }

  /** Guards against isolated mode that relies on reports from before a short pause. */
  @Test
  void evidenceFromBeforeThePauseDoesNotPermitIsolatedMode() {
    runUntil(12);
    tracker.tick(12 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2);
    tracker.storeAttempted(false, 12 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2);
    tracker.peerAnswered(PEER, false, 5, 12 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2);

    long pauseEndNanos = 15 * NANOS_PER_SECOND;
    tracker.tick(pauseEndNanos);
    tracker.renewed(5, 1, pauseEndNanos);
    final boolean withEvidenceFromBeforePause = permits(pauseEndNanos);
    tracker.storeAttempted(false, pauseEndNanos);
    tracker.peerFailed(PEER, pauseEndNanos);

    assertFalse(withEvidenceFromBeforePause);
    assertTrue(permits(pauseEndNanos));
  }

  /** Guards against a VM that took over the resources and then became unreachable itself. */
  @Test
  void unreachableMemberPreventsIsolatedModeAfterLongPause() {
    Incarnation third = new Incarnation(new VmId("c"), 3);
    long pauseEndNanos = 30 * NANOS_PER_SECOND;
    tracker.tick(pauseEndNanos);
    tracker.storeAttempted(false, pauseEndNanos);
    tracker.peerAnswered(third, false, 5, pauseEndNanos);
    tracker.peerFailed(PEER, pauseEndNanos);
    final boolean whilePeerIsUnreachable =
        tracker.view(Set.of(SELF, PEER, third), pauseEndNanos).permitsDispatch(pauseEndNanos);

    tracker.peerAnswered(PEER, false, 5, pauseEndNanos);

    assertFalse(whilePeerIsUnreachable);
    assertTrue(
        tracker.view(Set.of(SELF, PEER, third), pauseEndNanos).permitsDispatch(pauseEndNanos));
  }
}
