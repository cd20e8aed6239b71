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

/** Sizes and CPU of peer messages against failure domains, with the fields the VM sets. */
final class MessageSlope implements Slope {

  private static final long COUNTER = 86_400;
  private static final long CORRELATION = 1_000_000;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int domains : new int[] {12, 24, 47}) {
      Figures.At at = figures.at("heartbeat", "failure domains", domains);
      Fleet fleet = new Fleet(domains, 64, 1, 1, 1, 1);
      PeerEnvelope within = heartbeat(fleet, domains - 1);
      at.exact("within a failure domain", "B", within.getSerializedSize());
      at.exact("between relays", "B", heartbeat(fleet, 1).getSerializedSize());
      at.exact("answer without rows", "B", answer(fleet).getSerializedSize());
      at.cpu("encode and decode", () -> parse(within.toByteArray()));
    }
    Figures.At at = figures.at("message", "one", 1);
    at.exact("token request", "B", tokenRequest().getSerializedSize());
    at.exact("token answer", "B", tokenAnswer().getSerializedSize());
    at.exact("configuration announcement", "B", announcement().getSerializedSize());
  }

  private static PeerEnvelope heartbeat(Fleet fleet, int knownRows) {
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setSender(MemberInfoCodec.encode(fleet.self()))
            .setRenewalCounter(COUNTER)
            .setConfigurationVersion(3_400)
            .setStoreReachable(true)
            .setRecordsDigest(Long.MAX_VALUE)
            .setRowGeneration(1_000)
            .setRowVersion(COUNTER / 2)
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
                .setDomainRowVersion(COUNTER / 2)
                .setRowGeneration(1_000)
                .setRenewedCounter(COUNTER)
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
    return PeerEnvelope.newBuilder().setCorrelationId(CORRELATION);
  }

  private static PeerEnvelope parse(byte[] bytes) {
    try {
      return PeerEnvelope.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }
}
