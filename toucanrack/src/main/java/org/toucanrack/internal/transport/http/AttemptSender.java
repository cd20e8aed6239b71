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

/** Sends single attempts and cancellations to this VM or to another one. Thread-safe. */
final class AttemptSender {

  private final TrafficCollaborators collaborators;
  private final OwnerExecutor owner;

  AttemptSender(TrafficCollaborators collaborators, OwnerExecutor owner) {
    this.collaborators = collaborators;
    this.owner = owner;
  }

  /** The answer never completes exceptionally. */
  CompletionStage<ForwardAnswer> send(Attempt attempt) {
    ForwardRequest request = message(attempt);
    return isHere(attempt.owner())
        ? owner.run(request, attempt.request().deadlineNanos(), attempt.avoided())
        : forward(attempt.owner(), request);
  }

  /** Cancels an attempt, wherever it is; the cancellation may overtake the request. */
  void cancel(Attempt attempt) {
    if (isHere(attempt.owner())) {
      owner.cancel(attempt.id());
      return;
    }
    CancelForward cancel = CancelForward.newBuilder().setRequestId(attempt.id()).build();
    collaborators
        .peers()
        .send(
            attempt.owner().peersAddress(),
            PeerEnvelope.newBuilder().setCancelForward(cancel).build());
  }

  /** Forwards a request; the other VM gets less time, so that its answer comes in time. */
  CompletionStage<ForwardAnswer> forward(Member destination, ForwardRequest request) {
    long leftMillis = request.getDeadlineMillis();
    ForwardRequest reduced =
        request.toBuilder().setDeadlineMillis(HopDeadline.forNextHop(leftMillis)).build();
    return collaborators
        .peers()
        .request(
            destination.peersAddress(),
            PeerEnvelope.newBuilder().setForwardRequest(reduced).build(),
            Duration.ofMillis(leftMillis))
        .handle(
            (envelope, failure) ->
                failure == null && envelope.hasForwardAnswer()
                    ? envelope.getForwardAnswer()
                    : unanswered(failure));
  }

  ForwardRequest.Builder message(AdmittedRequest request) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    long left = request.deadlineNanos() - collaborators.clock().getAsLong();
    return ForwardRequest.newBuilder()
        .setRequestId(request.id())
        .setService(request.service().id().value())
        .setRoute(request.route().id().value())
        .setCustomer(request.customer().value())
        .setMethod(request.method())
        .setTarget(request.target())
        .addAllHeaders(request.headers())
        .setBody(request.body())
        .setDeadlineMillis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(left)))
        .setConfigurationVersion(snapshot.configuration().orElseThrow().version());
  }

  private ForwardRequest message(Attempt attempt) {
    return message(attempt.request())
        .setRequestId(attempt.id())
        .setVersion(attempt.version().value())
        .setOnlyIfFree(attempt.onlyIfFree())
        .build();
  }

  private boolean isHere(Member member) {
    return member.incarnation().equals(collaborators.snapshot().get().self().incarnation());
  }

  private static ForwardAnswer unanswered(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PeerCallException call && !call.written()
        ? Answers.notRun(ErrorCode.OWNER_UNREACHABLE, "The other VM could not be reached.")
        : Answers.mayHaveRun(ErrorCode.OWNER_UNREACHABLE, "The other VM did not answer.");
  }
}
