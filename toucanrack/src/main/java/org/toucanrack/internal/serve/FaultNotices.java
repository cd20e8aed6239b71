package org.toucanrack.internal.serve;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.protocol.generated.FaultNotice;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.PeerTransport;

/**
 * Broadcasts faults of service versions to all known VMs and receives their notices. Notices are
 * sent once, without acknowledgement. Thread-safe.
 */
final class FaultNotices {

  private static final Logger LOGGER = System.getLogger(FaultNotices.class.getName());

  private final PeerTransport peers;
  private final Supplier<ControlSnapshot> snapshot;

  FaultNotices(PeerTransport peers, Supplier<ControlSnapshot> snapshot) {
    this.peers = peers;
    this.snapshot = snapshot;
  }

  /**
   * Sets the listener for notices from other VMs. A notice about a version that is not declared, or
   * about an earlier declaration of it, is ignored.
   */
  void onNotice(BiConsumer<ServiceVersion, String> listener) {
    peers.registerHandler(
        PeerEnvelope.BodyCase.FAULT_NOTICE,
        (sender, envelope) -> {
          FaultNotice notice = envelope.getFaultNotice();
          findDeclaration(new ServiceId(notice.getService()), new VersionId(notice.getVersion()))
              .filter(version -> version.declaration() == notice.getDeclaration())
              .ifPresent(version -> listener.accept(version, notice.getReason()));
          return CompletableFuture.completedFuture(PeerEnvelope.getDefaultInstance());
        });
  }

  /** Returns the declaration of a version in the current configuration. */
  Optional<ServiceVersion> findDeclaration(ServiceId service, VersionId version) {
    return snapshot.get().configuration().stream()
        .flatMap(configuration -> configuration.deployment().versions().stream())
        .filter(declared -> declared.service().equals(service) && declared.id().equals(version))
        .findFirst();
  }

  /** Logs the fault and sends a notice to every other known VM. */
  void broadcast(ServiceVersion version, String reason) {
    LOGGER.log(
        Level.WARNING,
        "[rollout] Fault of version {0} of service {1}: {2}",
        version.id(),
        version.service(),
        reason);
    FaultNotice.Builder notice =
        FaultNotice.newBuilder()
            .setService(version.service().value())
            .setVersion(version.id().value())
            .setDeclaration(version.declaration())
            .setReason(reason);
    PeerEnvelope envelope = PeerEnvelope.newBuilder().setFaultNotice(notice).build();
    ControlSnapshot current = snapshot.get();
    current.members().values().stream()
        .filter(member -> !member.incarnation().equals(current.self().incarnation()))
        .map(Member::peersAddress)
        .forEach(address -> peers.send(address, envelope));
  }
}
