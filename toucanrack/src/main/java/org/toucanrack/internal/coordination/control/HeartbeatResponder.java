package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.protocol.generated.DomainRowCopy;
import org.toucanrack.internal.protocol.generated.Heartbeat;
import org.toucanrack.internal.protocol.generated.HeartbeatAnswer;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.RecordCopy;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.MemberInfoCodec;

/**
 * Answers heartbeats and records the state that their senders report. Confined to the control
 * thread.
 */
final class HeartbeatResponder {

  private final ControlState state;
  private final RowWriter writer;

  HeartbeatResponder(ControlState state, RowWriter writer) {
    this.state = state;
    this.writer = writer;
  }

  PeerEnvelope answer(Heartbeat heartbeat, long nowNanos) {
    Member sender = MemberInfoCodec.decode(heartbeat.getSender());
    boolean sameDomain = sender.failureDomain().equals(state.domain());
    if (sameDomain) {
      observe(sender, heartbeat, nowNanos);
    }
    state.configuration.observePeerVersion(
        heartbeat.getConfigurationVersion(),
        PeerCall.to(PeerCall.Kind.CONFIGURATION_FETCH, sender),
        nowNanos);
    HeartbeatAnswer.Builder answer =
        HeartbeatAnswer.newBuilder()
            .setSender(MemberInfoCodec.encode(state.self()))
            .setConfigurationVersion(state.configuration.version())
            .setKeyProofAgeMillis(state.keyFreshness.ageMillis(nowNanos))
            .setStoreReachable(state.store.isReachable());
    if (sameDomain) {
      addOwnRow(answer, sender, heartbeat);
    }
    addOtherRows(answer, heartbeat, sameDomain);
    addRecords(answer, heartbeat, nowNanos);
    return PeerEnvelope.newBuilder().setHeartbeatAnswer(answer).build();
  }

  private void observe(Member sender, Heartbeat heartbeat, long nowNanos) {
    state.failureDetector.observeContact(sender.incarnation(), nowNanos);
    writer.observeMember(
        sender, heartbeat.getRenewalCounter(), heartbeat.getConfigurationVersion(), nowNanos);
    if (heartbeat.getToRelay()) {
      writer.observeRelayRequest(nowNanos);
    }
    long known = state.ownRow().map(DomainRows.VersionedRow::version).orElse(0L);
    if (heartbeat.getRowVersion() > known) {
      writer.invalidateBase();
    }
    heartbeat
        .getReleasedList()
        .forEach(
            each -> writer.observeRelease(new ResourceId(each.getResource()), each.getEpoch()));
  }

  private void addOwnRow(HeartbeatAnswer.Builder answer, Member sender, Heartbeat heartbeat) {
    state
        .ownRow()
        .ifPresent(
            known -> {
              long generation = known.row().generation();
              answer.setDomainRowVersion(known.version()).setRowGeneration(generation);
              known
                  .row()
                  .member(sender.incarnation())
                  .map(RowMember::renewalCounter)
                  .ifPresent(answer::setRenewedCounter);
              if (heartbeat.getRowGeneration() < generation) {
                answer.setDomainRow(known.text());
              }
            });
  }

  private void addOtherRows(
      HeartbeatAnswer.Builder answer, Heartbeat heartbeat, boolean sameDomain) {
    Map<String, Long> known = new HashMap<>();
    heartbeat
        .getKnownRowsList()
        .forEach(each -> known.put(each.getFailureDomain(), each.getGeneration()));
    for (DomainRows.VersionedRow row : state.rows.all()) {
      FailureDomainId domain = row.row().failureDomain();
      boolean own = domain.equals(state.domain());
      boolean relevant = own ? !sameDomain : sameDomain || known.isEmpty();
      boolean newer = known.getOrDefault(domain.value(), 0L) < row.row().generation();
      if (relevant && newer) {
        answer.addOtherRows(
            DomainRowCopy.newBuilder()
                .setFailureDomain(domain.value())
                .setRow(row.text())
                .setVersion(row.version()));
      }
    }
  }

  private void addRecords(HeartbeatAnswer.Builder answer, Heartbeat heartbeat, long nowNanos) {
    answer.setRecordsAgeMillis(state.records.ageMillis(nowNanos).orElse(-1L));
    if (heartbeat.getRecordsDigest() != state.records.digest()) {
      answer.setRecordsIncluded(true);
      state
          .records
          .rows()
          .forEach(
              row ->
                  answer.addRecords(
                      RecordCopy.newBuilder()
                          .setKey(row.key())
                          .setValue(row.value())
                          .setVersion(row.version())));
    }
  }
}
