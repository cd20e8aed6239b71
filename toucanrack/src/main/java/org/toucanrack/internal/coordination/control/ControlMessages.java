package org.toucanrack.internal.coordination.control;

import com.google.protobuf.ByteString;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.ConfigurationAnnouncement;
import org.toucanrack.internal.protocol.generated.ConfigurationBody;
import org.toucanrack.internal.protocol.generated.ConfigurationFetch;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.Probe;
import org.toucanrack.internal.protocol.generated.ProbeAnswer;
import org.toucanrack.internal.state.Member;

/** Builds the messages of the control loop other than heartbeats. Stateless and thread-safe. */
final class ControlMessages {

  private ControlMessages() {}

  static ControlAction fetch(PeerCall call, long version) {
    ConfigurationFetch fetch = ConfigurationFetch.newBuilder().setAtLeastVersion(version).build();
    return new ControlAction.Request(
        call,
        PeerEnvelope.newBuilder().setConfigurationFetch(fetch).build(),
        ControlTimings.FETCH_TIMEOUT_MILLIS);
  }

  static PeerEnvelope body(ConfigurationAdoption.Adopted adopted) {
    return PeerEnvelope.newBuilder()
        .setConfigurationBody(
            ConfigurationBody.newBuilder()
                .setVersion(adopted.configuration().version())
                .setBodyHash(adopted.hash())
                .setBody(ByteString.copyFrom(adopted.body())))
        .build();
  }

  /** Returns an empty body, the answer of a VM without a configuration. */
  static PeerEnvelope noBody() {
    return PeerEnvelope.newBuilder()
        .setConfigurationBody(ConfigurationBody.getDefaultInstance())
        .build();
  }

  static PeerEnvelope announcement(ConfigurationAdoption.Adopted adopted, long proofAgeMillis) {
    return PeerEnvelope.newBuilder()
        .setConfigurationAnnouncement(
            ConfigurationAnnouncement.newBuilder()
                .setVersion(adopted.configuration().version())
                .setBodyHash(adopted.hash())
                .setKeyProofAgeMillis(proofAgeMillis))
        .build();
  }

  static ControlAction probe(Member member) {
    Incarnation id = member.incarnation();
    Probe probe = Probe.newBuilder().setVm(id.vm().value()).setIncarnation(id.number()).build();
    return new ControlAction.Request(
        PeerCall.to(PeerCall.Kind.PROBE, member),
        PeerEnvelope.newBuilder().setProbe(probe).build(),
        ControlTimings.PEER_TIMEOUT_MILLIS);
  }

  static PeerEnvelope probeAnswer(Incarnation self, boolean usesResources) {
    return PeerEnvelope.newBuilder()
        .setProbeAnswer(
            ProbeAnswer.newBuilder()
                .setVm(self.vm().value())
                .setIncarnation(self.number())
                .setUsesResources(usesResources))
        .build();
  }
}
