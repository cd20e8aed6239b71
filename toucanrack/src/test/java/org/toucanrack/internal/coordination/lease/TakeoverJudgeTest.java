package org.toucanrack.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.state.Member;

class TakeoverJudgeTest {

  private static final long SECOND = 1_000_000_000L;
  private static final Incarnation SELF = new Incarnation(new VmId("a"), 1);
  private static final Incarnation HOLDER = new Incarnation(new VmId("b"), 2);

  private final TakeoverJudge judge = new TakeoverJudge(SELF);

  private static DomainRow row(long counter) {
    FailureDomainId domain = new FailureDomainId("alpha");
    Member member = new Member(HOLDER, domain, "127.0.0.1:1", "127.0.0.1:2", false);
    return new DomainRow(
        domain, 1, 0, 0, "op", Map.of(HOLDER, new RowMember(member, counter, 0)), new TreeMap<>());
  }

  @BeforeEach
  void seeTheRow() {
    judge.observeRow(row(5), 0);
  }

  /** Guards against takeover from a holder that is alive while the store is slow. */
  @Test
  void holderIsLostOnlyAfterTheWholeLeaseAndFailedProbe() {
    judge.observeFailedProbe(HOLDER, 9 * SECOND);
    final Set<Incarnation> early = judge.lost(11 * SECOND);
    final List<Incarnation> dueProbes = judge.takeDueProbes(11 * SECOND);
    final Set<Incarnation> unprobed = judge.lost(11 * SECOND);

    judge.observeFailedProbe(HOLDER, 11 * SECOND);

    assertEquals(Set.of(), early);
    assertEquals(List.of(HOLDER), dueProbes);
    assertEquals(Set.of(), unprobed);
    assertEquals(Set.of(HOLDER), judge.lost(11 * SECOND));
    assertEquals(Set.of(), judge.lost(15 * SECOND), "the evidence is old");
  }

  /** Guards against counting a lease from before its newest renewal or sign of life. */
  @Test
  void renewalAndContactStartTheWaitAnew() {
    judge.observeRow(row(6), 8 * SECOND);
    judge.observeFailedProbe(HOLDER, 11 * SECOND);
    final Set<Incarnation> afterRenewal = judge.lost(11 * SECOND);
    judge.observeContact(HOLDER, 15 * SECOND);
    judge.observeFailedProbe(HOLDER, 20 * SECOND);

    assertEquals(Set.of(), afterRenewal);
    assertEquals(Set.of(), judge.lost(20 * SECOND));
  }

  /** Guards against a taker that missed signs of life while it was paused itself. */
  @Test
  void pauseOfTheTakerStartsTheWaitAnew() {
    judge.restart(30 * SECOND);
    judge.observeFailedProbe(HOLDER, 31 * SECOND);

    assertEquals(Set.of(), judge.lost(31 * SECOND));
  }

  /** Guards against a list that lags behind: a VM that was never listed has not ended. */
  @Test
  void listCountsOnlyForVmsThatItNamedBefore() {
    judge.observeListing(Set.of(new VmId("c")), 11 * SECOND);
    final Set<Incarnation> neverListed = judge.lost(11 * SECOND);
    judge.observeListing(Set.of(new VmId("b")), 12 * SECOND);
    judge.observeListing(Set.of(), 13 * SECOND);

    assertEquals(Set.of(), neverListed);
    assertEquals(Set.of(HOLDER), judge.lost(13 * SECOND));
  }
}
