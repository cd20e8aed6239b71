package org.toucanrack.internal.coordination.control;

import java.util.List;
import java.util.Optional;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.internal.protocol.generated.HeartbeatAnswer;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.MemberInfoCodec;
import org.toucanrack.platform.Row;

/**
 * Handles the answers to this VM's heartbeats and merges the state that peers report in them.
 * Confined to the control thread.
 */
final class HeartbeatAnswerHandler {

  private final ControlState state;

  HeartbeatAnswerHandler(ControlState state) {
    this.state = state;
  }

  void onAnswer(PeerCall call, HeartbeatAnswer answer, long sentAtNanos, long nowNanos) {
    Member sender = MemberInfoCodec.decode(answer.getSender());
    state.peerReachability.recordAnswer(call.address());
    if (sender.failureDomain().equals(state.domain())) {
      observeLocalPeer(call, sender, answer, sentAtNanos, nowNanos);
    }
    for (var copy : answer.getOtherRowsList()) {
      DomainRow row = DomainRowCodec.decode(copy.getRow());
      if (!row.failureDomain().equals(state.domain())) {
        state.rows.update(row, copy.getRow(), copy.getVersion(), nowNanos);
      }
    }
    observeConfiguration(call, sender, answer, sentAtNanos, nowNanos);
    mergeRecords(answer, sentAtNanos);
  }

  private void observeLocalPeer(
      PeerCall call, Member sender, HeartbeatAnswer answer, long sentAtNanos, long nowNanos) {
    Incarnation id = sender.incarnation();
    call.target()
        .filter(target -> !target.incarnation().equals(id))
        .ifPresent(target -> observeReplacement(target.incarnation(), sentAtNanos));
    state.failureDetector.observeContact(id, nowNanos);
    if (!answer.getDomainRow().isEmpty()) {
      DomainRow row = DomainRowCodec.decode(answer.getDomainRow());
      state.rows.update(row, answer.getDomainRow(), answer.getDomainRowVersion(), nowNanos);
    }
    state
        .ownRow()
        .filter(known -> known.row().generation() == answer.getRowGeneration())
        .ifPresent(
            known -> {
              state.rows.updateVersion(
                  state.domain(), answer.getRowGeneration(), answer.getDomainRowVersion());
              state.leaseTracker.renewed(
                  answer.getDomainRowVersion(), answer.getRenewedCounter(), sentAtNanos);
            });
    state.leaseTracker.peerAnswered(
        id, answer.getStoreReachable(), answer.getDomainRowVersion(), sentAtNanos);
    if (id.equals(state.relay().incarnation())) {
      state.observeRelayAnswer(answer.getStoreReachable(), nowNanos);
    }
  }

  /** Records that the target process has ended, since another one answers at its address. */
  private void observeReplacement(Incarnation target, long sentAtNanos) {
    state.failureDetector.observeFailedProbe(target, sentAtNanos);
    state.leaseTracker.peerFailed(target, sentAtNanos);
  }

  void onFailure(PeerCall call, long sentAtNanos, long nowNanos) {
    state.peerReachability.recordFailure(call.address(), nowNanos);
    state.readiness.observePeerFailure(call.address());
    call.target()
        .filter(target -> target.failureDomain().equals(state.domain()))
        .ifPresent(target -> state.leaseTracker.peerFailed(target.incarnation(), sentAtNanos));
  }

  private void observeConfiguration(
      PeerCall call, Member sender, HeartbeatAnswer answer, long sentAtNanos, long nowNanos) {
    long version = answer.getConfigurationVersion();
    state.readiness.observePeerVersion(call.address(), version);
    state.configuration.observePeerVersion(
        version, PeerCall.to(PeerCall.Kind.CONFIGURATION_FETCH, sender), nowNanos);
    if (answer.getKeyProofAgeMillis() >= 0) {
      state.keyFreshness.observeVersion(
          version,
          sentAtNanos - answer.getKeyProofAgeMillis() * ControlTimings.NANOS_PER_MILLISECOND);
    }
  }

  private void mergeRecords(HeartbeatAnswer answer, long sentAtNanos) {
    if (answer.getRecordsAgeMillis() < 0) {
      return;
    }
    long asOfNanos =
        sentAtNanos - answer.getRecordsAgeMillis() * ControlTimings.NANOS_PER_MILLISECOND;
    if (answer.getRecordsIncluded()) {
      List<Row> rows =
          answer.getRecordsList().stream()
              .map(each -> new Row(each.getKey(), each.getValue(), each.getVersion()))
              .toList();
      state.records.replaceIfNewer(rows, asOfNanos);
    } else {
      state.records.confirm(asOfNanos);
    }
  }

  /** Returns the member with this incarnation, if it is known. */
  Optional<Member> memberOf(Incarnation incarnation) {
    return Optional.ofNullable(state.rows.members().get(incarnation));
  }
}
