package org.toucanrack.internal.coordination.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.lease.LeaseTracker;
import org.toucanrack.internal.coordination.lease.MemberFailureDetector;
import org.toucanrack.internal.state.Member;

/** State that the components of the control loop share. Confined to the control thread. */
final class ControlState {

  final DomainRows rows = new DomainRows();
  final StoreReachability store = new StoreReachability();
  final PeerReachability peerReachability = new PeerReachability();
  final OperatorRecords records = new OperatorRecords();
  final KeyFreshnessTracker keyFreshness = new KeyFreshnessTracker();
  final Readiness readiness = new Readiness();
  final ConfigurationAdoption configuration;
  final LeaseTracker leaseTracker;
  final MemberFailureDetector failureDetector;
  private Member self;
  private boolean relayReportsStoreDown;
  private long lastRelayAnswerNanos;

  ControlState(Member self, ConfigurationDecoder decoder, long nowNanos) {
    this.self = self;
    this.configuration = new ConfigurationAdoption(decoder, nowNanos);
    this.leaseTracker = new LeaseTracker(self.incarnation(), nowNanos);
    this.failureDetector = new MemberFailureDetector(self.incarnation());
    this.lastRelayAnswerNanos = nowNanos;
  }

  Member self() {
    return self;
  }

  Incarnation id() {
    return self.incarnation();
  }

  FailureDomainId domain() {
    return self.failureDomain();
  }

  Optional<DomainRows.VersionedRow> ownRow() {
    return rows.of(domain());
  }

  /** Returns the members of the own failure domain without this VM, in relay order. */
  List<Member> localPeers() {
    return rows.relayOrder(domain()).stream()
        .filter(member -> !member.incarnation().equals(id()))
        .toList();
  }

  void startDraining() {
    self =
        new Member(
            self.incarnation(),
            self.failureDomain(),
            self.callersAddress(),
            self.peersAddress(),
            true);
  }

  /**
   * Returns the relay of the own failure domain in this VM's view, possibly this VM: the first
   * member in relay order that is not suspected of being unreachable.
   */
  Member relay() {
    return Stream.concat(Stream.of(self), localPeers().stream())
        .sorted(DomainRows.RELAY_ORDER)
        .filter(member -> isSelf(member) || !peerReachability.isSuspect(member.peersAddress()))
        .findFirst()
        .orElse(self);
  }

  boolean isRelay() {
    return isSelf(relay());
  }

  boolean isSelf(Member member) {
    return member.incarnation().equals(id());
  }

  void observeRelayAnswer(boolean storeReachable, long nowNanos) {
    relayReportsStoreDown = !storeReachable;
    lastRelayAnswerNanos = nowNanos;
  }

  /**
   * Returns whether this VM has to contact the store and all members of its failure domain itself,
   * because it cannot rely on the relay or its lease is at risk.
   */
  boolean mustBypassRelay(long nowNanos) {
    long sinceRenewal = LeaseTracker.LEASE_NANOS - leaseTracker.remainingNanos(nowNanos);
    return store.hasFailed()
        || relayReportsStoreDown
        || !readiness.isReady()
        || leaseTracker.isFenced()
        || sinceRenewal > ControlTimings.RENEWAL_OVERDUE_NANOS
        || nowNanos - lastRelayAnswerNanos > ControlTimings.RELAY_TIMEOUT_NANOS;
  }
}
