package org.toucanrack.internal.coordination.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.lease.LeaseTracker;
import org.toucanrack.internal.coordination.lease.MemberFailureDetector;
import org.toucanrack.internal.state.Member;

/** What the parts of the control loop share. Used by the control loop only. */
final class ControlState {

  final DomainRows rows = new DomainRows();
  final StoreReachability store = new StoreReachability();
  final PeerReachability peerReachability = new PeerReachability();
  final OperatorRecords records = new OperatorRecords();
  final KeyFreshnessTracker keyFreshness = new KeyFreshnessTracker();
  final Readiness readiness = new Readiness();
  final ConfigurationAdoption configuration;
  final LeaseTracker lease;
  final MemberFailureDetector judge;
  private Member self;
  private boolean relayReportsStoreDown;
  private long lastRelayAnswerNanos;

  ControlState(Member self, ConfigurationDecoder decoder, long nowNanos) {
    this.self = self;
    this.configuration = new ConfigurationAdoption(decoder, nowNanos);
    this.lease = new LeaseTracker(self.incarnation(), nowNanos);
    this.judge = new MemberFailureDetector(self.incarnation());
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

  /** Returns the relay of the own failure domain as this VM sees it; possibly this VM. */
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

  /** Returns whether this VM has to ask the store and all members itself. */
  boolean mustBypassRelay(long nowNanos) {
    long sinceRenewal = LeaseTracker.LEASE_NANOS - lease.remainingNanos(nowNanos);
    return store.hasFailed()
        || relayReportsStoreDown
        || !readiness.isReady()
        || lease.isFenced()
        || sinceRenewal > ControlTimings.RENEWAL_OVERDUE_NANOS
        || nowNanos - lastRelayAnswerNanos > ControlTimings.RELAY_TIMEOUT_NANOS;
  }
}
