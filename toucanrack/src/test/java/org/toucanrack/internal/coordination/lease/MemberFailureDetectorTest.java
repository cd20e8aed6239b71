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

class MemberFailureDetectorTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final Incarnation SELF = new Incarnation(new VmId("a"), 1);
  private static final Incarnation HOLDER = new Incarnation(new VmId("b"), 2);

  private final MemberFailureDetector detector = new MemberFailureDetector(SELF);

  private static DomainRow row(long counter) {
    FailureDomainId domain = new FailureDomainId("alpha");
    Member member = new Member(HOLDER, domain, "127.0.0.1:1", "127.0.0.1:2", false);
    return new DomainRow(
        domain, 1, 0, 0, "op", Map.of(HOLDER, new RowMember(member, counter, 1)), new TreeMap<>());
  }

  @BeforeEach
  void observeInitialRow() {
    detector.observeRow(row(5), 0);
  }

  /** Guards against takeover from a holder that is alive while the store is slow. */
  @Test
  void memberIsLostOnlyAfterLeaseEndAndFailedProbe() {
    detector.observeFailedProbe(HOLDER, 9 * NANOS_PER_SECOND);
    final Set<Incarnation> beforeLeaseEnd = detector.lostMembers(11 * NANOS_PER_SECOND);
    final List<Incarnation> dueProbes = detector.pollDueProbes(11 * NANOS_PER_SECOND);
    final Set<Incarnation> withoutProbe = detector.lostMembers(11 * NANOS_PER_SECOND);

    detector.observeFailedProbe(HOLDER, 11 * NANOS_PER_SECOND);

    assertEquals(Set.of(), beforeLeaseEnd);
    assertEquals(List.of(HOLDER), dueProbes);
    assertEquals(Set.of(), withoutProbe);
    assertEquals(Set.of(HOLDER), detector.lostMembers(11 * NANOS_PER_SECOND));
    assertEquals(Set.of(), detector.lostMembers(15 * NANOS_PER_SECOND), "the evidence is old");
  }

  /** Guards against a lease wait that starts before the newest renewal or contact. */
  @Test
  void renewalAndContactRestartTheLeaseWait() {
    detector.observeRow(row(6), 8 * NANOS_PER_SECOND);
    detector.observeFailedProbe(HOLDER, 11 * NANOS_PER_SECOND);
    final Set<Incarnation> afterRenewal = detector.lostMembers(11 * NANOS_PER_SECOND);
    detector.observeContact(HOLDER, 15 * NANOS_PER_SECOND);
    detector.observeFailedProbe(HOLDER, 20 * NANOS_PER_SECOND);

    assertEquals(Set.of(), afterRenewal);
    assertEquals(Set.of(), detector.lostMembers(20 * NANOS_PER_SECOND));
  }

  /** Guards against a takeover by a VM that missed contacts while it was paused itself. */
  @Test
  void pauseOfTheObserverRestartsTheLeaseWait() {
    detector.resetObservations(30 * NANOS_PER_SECOND);
    detector.observeFailedProbe(HOLDER, 31 * NANOS_PER_SECOND);

    assertEquals(Set.of(), detector.lostMembers(31 * NANOS_PER_SECOND));
  }

  /** Guards against a lagging list: a VM that was never listed has not terminated. */
  @Test
  void absenceFromTheListCountsOnlyForVmsListedBefore() {
    detector.observeListing(Set.of(new VmId("c")), 11 * NANOS_PER_SECOND);
    final Set<Incarnation> neverListed = detector.lostMembers(11 * NANOS_PER_SECOND);
    detector.observeListing(Set.of(new VmId("b")), 12 * NANOS_PER_SECOND);
    detector.observeListing(Set.of(), 13 * NANOS_PER_SECOND);

    assertEquals(Set.of(), neverListed);
    assertEquals(Set.of(HOLDER), detector.lostMembers(13 * NANOS_PER_SECOND));
  }
}
