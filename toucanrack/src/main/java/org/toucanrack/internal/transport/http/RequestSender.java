package org.toucanrack.internal.transport.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.PeerCallException;

/** Sends admitted requests to the owner of a backend server, here or on another VM. Thread-safe. */
final class RequestSender {

  private final TrafficCollaborators collaborators;
  private final OwnerExecutor owner;

  RequestSender(TrafficCollaborators collaborators, OwnerExecutor owner) {
    this.collaborators = collaborators;
    this.owner = owner;
  }

  /** The answer never completes exceptionally. */
  CompletionStage<ForwardAnswer> send(AdmittedRequest admitted) {
    long now = collaborators.clock().getAsLong();
    VersionId version =
        collaborators
            .versionSelector()
            .select(admitted.service().id(), admitted.route().id(), admitted.customer(), now);
    ControlSnapshot snapshot = collaborators.snapshot().get();
    Optional<Member> destination = destination(snapshot, admitted, version);
    if (destination.isEmpty()) {
      return CompletableFuture.completedFuture(
          Answers.notRun(ErrorCode.NO_CAPACITY, "No backend server of the service has an owner."));
    }
    ForwardRequest request = message(admitted, version, snapshot, now);
    return destination.get().incarnation().equals(snapshot.self().incarnation())
        ? owner.run(request, admitted.deadlineNanos())
        : forward(destination.get(), request);
  }

  private Optional<Member> destination(
      ControlSnapshot snapshot, AdmittedRequest admitted, VersionId version) {
    List<BackendServer> servers =
        snapshot.configuration().orElseThrow().deployment().backendServers();
    Optional<Incarnation> chosen = Optional.empty();
    for (BackendServer server : servers) {
      if (server.service().equals(admitted.service().id()) && server.version().equals(version)) {
        Optional<Incarnation> candidate = snapshot.ownership().ownerOf(server.id());
        if (candidate.isPresent()
            && (chosen.isEmpty()
                || server.failureDomain().equals(snapshot.self().failureDomain()))) {
          chosen = candidate;
        }
      }
    }
    return chosen.map(snapshot.members()::get);
  }

  private CompletionStage<ForwardAnswer> forward(Member destination, ForwardRequest request) {
    return collaborators
        .peers()
        .request(
            destination.peersAddress(),
            PeerEnvelope.newBuilder().setForwardRequest(request).build(),
            Duration.ofMillis(request.getDeadlineMillis()))
        .handle(
            (envelope, failure) ->
                failure == null ? envelope.getForwardAnswer() : unanswered(failure));
  }

  private static ForwardAnswer unanswered(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean written = !(cause instanceof PeerCallException call) || call.written();
    return written
        ? Answers.mayHaveRun(ErrorCode.OWNER_UNREACHABLE, "The owning VM did not answer.")
        : Answers.notRun(ErrorCode.OWNER_UNREACHABLE, "The owning VM could not be reached.");
  }

  private static ForwardRequest message(
      AdmittedRequest admitted, VersionId version, ControlSnapshot snapshot, long now) {
    return ForwardRequest.newBuilder()
        .setRequestId(admitted.id())
        .setService(admitted.service().id().value())
        .setRoute(admitted.route().id().value())
        .setCustomer(admitted.customer().value())
        .setMethod(admitted.method())
        .setTarget(admitted.target())
        .addAllHeaders(admitted.headers())
        .setBody(admitted.body())
        .setDeadlineMillis(TimeUnit.NANOSECONDS.toMillis(admitted.deadlineNanos() - now))
        .setVersion(version.value())
        .setConfigurationVersion(snapshot.configuration().orElseThrow().version())
        .build();
  }
}
