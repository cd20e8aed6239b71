package org.toucanrack.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

class LeaseKeeperTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Incarnation SELF = new Incarnation(new VmId("a"), 1);
  private static final Incarnation PEER = new Incarnation(new VmId("b"), 2);
  private static final Set<Incarnation> MEMBERS = Set.of(SELF, PEER);

  private final LeaseKeeper keeper = new LeaseKeeper(SELF, 0);

  @BeforeEach
  void renewOnce() {
    keeper.tick(SECOND);
    keeper.heartbeatSent(1, SECOND);
    keeper.tick(3 * SECOND);
    keeper.renewed(5, 1, SECOND);
  }

  private boolean permits(long now) {
    return keeper.view(MEMBERS, now).permitsDispatch(now);
  }

  private void runUntil(long second) {
    for (long at = 3; at <= second; at++) {
      keeper.tick(at * SECOND);
    }
  }

  /** Guards against a lease that outlasts the wait of a taker by the time the answer took. */
  @Test
  void leaseCountsFromBeforeTheHeartbeatWasSent() {
    runUntil(11);

    long validUntil = keeper.view(MEMBERS, 11 * SECOND).validUntilNanos();

    assertEquals(11 * SECOND, validUntil);
    assertTrue(permits(11 * SECOND - 1));
    assertFalse(permits(11 * SECOND));
  }

  /** Guards against answers that overtake each other and bring back ownership of an old row. */
  @Test
  void renewalOfOlderRowDoesNotCount() {
    keeper.heartbeatSent(2, 3 * SECOND);

    keeper.renewed(4, 2, 3 * SECOND);

    assertEquals(11 * SECOND, keeper.view(MEMBERS, 3 * SECOND).validUntilNanos());
  }

  /** Guards against use of resources between waking and the first news after a pause. */
  @Test
  void pauseFencesUntilRequestSentAfterItIsAnswered() {
    boolean paused = keeper.tick(6 * SECOND);
    final boolean onWaking = permits(6 * SECOND);

    keeper.renewed(5, 1, 2 * SECOND);
    final boolean afterOldAnswer = permits(6 * SECOND);
    keeper.peerAnswered(PEER, true, 5, 6 * SECOND);

    assertTrue(paused);
    assertFalse(onWaking);
    assertFalse(afterOldAnswer);
    assertTrue(permits(6 * SECOND));
  }

  /** Guards against isolated mode while a peer reaches the store, or before it was asked. */
  @Test
  void isolatedModeNeedsReportsOfAllMembers() {
    runUntil(12);
    keeper.storeAttempted(false, 11 * SECOND);
    final boolean unasked = permits(12 * SECOND);
    keeper.peerAnswered(PEER, true, 5, 11 * SECOND);
    final boolean peerReachesStore = permits(12 * SECOND);
    keeper.peerAnswered(PEER, false, 6, 11 * SECOND);
    final boolean peerHasNewerRow = permits(12 * SECOND);

    keeper.peerAnswered(PEER, false, 5, 11 * SECOND);

    assertFalse(unasked);
    assertFalse(peerReachesStore);
    assertFalse(peerHasNewerRow);
    assertTrue(permits(12 * SECOND));
  }

  /** Guards against isolated mode on reports from before a short pause. */
  @Test
  void evidenceFromBeforePauseDoesNotIsolate() {
    runUntil(12);
    keeper.tick(12 * SECOND + SECOND / 2);
    keeper.storeAttempted(false, 12 * SECOND + SECOND / 2);
    keeper.peerAnswered(PEER, false, 5, 12 * SECOND + SECOND / 2);

    long woken = 15 * SECOND;
    keeper.tick(woken);
    keeper.renewed(5, 1, woken);
    final boolean oldEvidence = permits(woken);
    keeper.storeAttempted(false, woken);
    keeper.peerFailed(PEER, woken);

    assertFalse(oldEvidence);
    assertTrue(permits(woken));
  }

  /** Guards against a taker that used the resources and then became unreachable itself. */
  @Test
  void unreachableMemberPreventsIsolatedModeAfterLongPause() {
    Incarnation third = new Incarnation(new VmId("c"), 3);
    long woken = 30 * SECOND;
    keeper.tick(woken);
    keeper.storeAttempted(false, woken);
    keeper.peerAnswered(third, false, 5, woken);
    keeper.peerFailed(PEER, woken);
    final boolean unreachable =
        keeper.view(Set.of(SELF, PEER, third), woken).permitsDispatch(woken);

    keeper.peerAnswered(PEER, false, 5, woken);

    assertFalse(unreachable);
    assertTrue(keeper.view(Set.of(SELF, PEER, third), woken).permitsDispatch(woken));
  }
}
