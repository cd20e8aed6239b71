package org.toucanrack.internal.transport.http;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.internal.coordination.retry.HopDeadline;
import org.toucanrack.internal.protocol.generated.CancelForward;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.PeerCallException;

/**
 * Sends attempts and cancellations to their owner, which is this VM or another one. Thread-safe.
 */
final class AttemptSender {

  private final TrafficCollaborators collaborators;
  private final OwnerExecutor localExecutor;

  AttemptSender(TrafficCollaborators collaborators, OwnerExecutor localExecutor) {
    this.collaborators = collaborators;
    this.localExecutor = localExecutor;
  }

  /** Sends an attempt; the returned stage never completes exceptionally. */
  CompletionStage<ForwardAnswer> send(Attempt attempt) {
    ForwardRequest request = toMessage(attempt);
    return isLocal(attempt.owner())
        ? localExecutor.run(request, attempt.request().deadlineNanos(), attempt.avoidedServer())
        : forward(attempt.owner(), request);
  }

  /** Cancels an attempt at its owner; the cancellation may arrive before the request. */
  void cancel(Attempt attempt) {
    if (isLocal(attempt.owner())) {
      localExecutor.cancel(attempt.id());
      return;
    }
    CancelForward cancel = CancelForward.newBuilder().setRequestId(attempt.id()).build();
    collaborators
        .peers()
        .send(
            attempt.owner().peersAddress(),
            PeerEnvelope.newBuilder().setCancelForward(cancel).build());
  }

  /**
   * Forwards a request with a reduced deadline, so that the answer arrives before the request's own
   * deadline.
   */
  CompletionStage<ForwardAnswer> forward(Member destination, ForwardRequest request) {
    long remainingMillis = request.getDeadlineMillis();
    ForwardRequest reduced =
        request.toBuilder().setDeadlineMillis(HopDeadline.forNextHop(remainingMillis)).build();
    return collaborators
        .peers()
        .request(
            destination.peersAddress(),
            PeerEnvelope.newBuilder().setForwardRequest(reduced).build(),
            Duration.ofMillis(remainingMillis))
        .handle(
            (envelope, failure) ->
                failure == null && envelope.hasForwardAnswer()
                    ? envelope.getForwardAnswer()
                    : failureAnswer(failure));
  }

  ForwardRequest.Builder toMessage(AdmittedRequest request) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    long remainingNanos = request.deadlineNanos() - collaborators.clock().getAsLong();
    return ForwardRequest.newBuilder()
        .setRequestId(request.id())
        .setService(request.service().id().value())
        .setRoute(request.route().id().value())
        .setCustomer(request.customer().value())
        .setMethod(request.method())
        .setTarget(request.target())
        .addAllHeaders(request.headers())
        .setBody(request.body())
        .setDeadlineMillis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos)))
        .setConfigurationVersion(snapshot.configuration().orElseThrow().version());
  }

  private ForwardRequest toMessage(Attempt attempt) {
    return toMessage(attempt.request())
        .setRequestId(attempt.id())
        .setVersion(attempt.version().value())
        .setOnlyIfFree(attempt.onlyIfFree())
        .build();
  }

  private boolean isLocal(Member member) {
    return member.incarnation().equals(collaborators.snapshot().get().self().incarnation());
  }

  private static ForwardAnswer failureAnswer(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PeerCallException call && !call.written()
        ? ForwardAnswers.notRun(ErrorCode.OWNER_UNREACHABLE, "The other VM could not be reached.")
        : ForwardAnswers.mayHaveRun(ErrorCode.OWNER_UNREACHABLE, "The other VM did not answer.");
  }
}
