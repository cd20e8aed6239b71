package org.toucanrack.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import org.toucanrack.internal.protocol.generated.ConfigurationAnnouncement;
import org.toucanrack.internal.protocol.generated.Heartbeat;
import org.toucanrack.internal.protocol.generated.HeartbeatAnswer;
import org.toucanrack.internal.protocol.generated.KnownRow;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.TokenAnswer;
import org.toucanrack.internal.protocol.generated.TokenRequest;
import org.toucanrack.internal.transport.peer.MemberInfoCodec;

/**
 * Size and CPU time of peer messages by number of failure domains, with the fields that VMs set.
 */
final class MessageBenchmark implements ScalingBenchmark {

  private static final long RENEWAL_COUNTER = 86_400;
  private static final long CORRELATION_ID = 1_000_000;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int domains : new int[] {12, 24, 47}) {
      FigureRecorder.Point point = figures.pointAt("heartbeat", "failure domains", domains);
      Fleet fleet = new Fleet(domains, 64, 1, 1, 1, 1);
      PeerEnvelope withinDomain = heartbeat(fleet, domains - 1);
      point.addExact("within a failure domain", "B", withinDomain.getSerializedSize());
      point.addExact("between relays", "B", heartbeat(fleet, 1).getSerializedSize());
      point.addExact("answer without rows", "B", answer(fleet).getSerializedSize());
      point.measureCpu("encode and decode", () -> parse(withinDomain.toByteArray()));
    }
    FigureRecorder.Point point = figures.pointAt("message", "one", 1);
    point.addExact("token request", "B", tokenRequest().getSerializedSize());
    point.addExact("token answer", "B", tokenAnswer().getSerializedSize());
    point.addExact("configuration announcement", "B", announcement().getSerializedSize());
  }

  private static PeerEnvelope heartbeat(Fleet fleet, int knownRows) {
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setSender(MemberInfoCodec.encode(fleet.self()))
            .setRenewalCounter(RENEWAL_COUNTER)
            .setConfigurationVersion(3_400)
            .setStoreReachable(true)
            .setRecordsDigest(Long.MAX_VALUE)
            .setRowGeneration(1_000)
            .setRowVersion(RENEWAL_COUNTER / 2)
            .setToRelay(true);
    for (int i = 1; i <= knownRows; i++) {
      heartbeat.addKnownRows(
          KnownRow.newBuilder().setFailureDomain(Fleet.domain(i).value()).setGeneration(1_000));
    }
    return envelope().setHeartbeat(heartbeat).build();
  }

  private static PeerEnvelope answer(Fleet fleet) {
    return envelope()
        .setAnswer(true)
        .setHeartbeatAnswer(
            HeartbeatAnswer.newBuilder()
                .setSender(MemberInfoCodec.encode(fleet.self()))
                .setConfigurationVersion(3_400)
                .setKeyProofAgeMillis(900)
                .setStoreReachable(true)
                .setDomainRowVersion(RENEWAL_COUNTER / 2)
                .setRowGeneration(1_000)
                .setRenewedCounter(RENEWAL_COUNTER)
                .setRecordsAgeMillis(1_900))
        .build();
  }

  private static PeerEnvelope tokenRequest() {
    return envelope()
        .setTokenRequest(
            TokenRequest.newBuilder().setCustomer(Fleet.customerId(999).value()).setTokens(12.5))
        .build();
  }

  private static PeerEnvelope tokenAnswer() {
    return envelope()
        .setAnswer(true)
        .setTokenAnswer(TokenAnswer.newBuilder().setTokens(12.5).setRetryAfterMillis(20))
        .build();
  }

  private static PeerEnvelope announcement() {
    return PeerEnvelope.newBuilder()
        .setConfigurationAnnouncement(
            ConfigurationAnnouncement.newBuilder()
                .setVersion(3_400)
                .setBodyHash("0".repeat(64))
                .setKeyProofAgeMillis(900))
        .build();
  }

  private static PeerEnvelope.Builder envelope() {
    return PeerEnvelope.newBuilder().setCorrelationId(CORRELATION_ID);
  }

  private static PeerEnvelope parse(byte[] bytes) {
    try {
      return PeerEnvelope.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }
}
