package org.toucanrack.internal.transport.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * Runs requests that other VMs forward because this VM owns the slots or issued the ticket.
 * Thread-safe.
 */
final class ForwardHandler {

  private final TrafficCollaborators collaborators;
  private final OwnerExecutor executor;
  private final TicketCoordinator tickets;

  ForwardHandler(
      TrafficCollaborators collaborators, OwnerExecutor executor, TicketCoordinator tickets) {
    this.collaborators = collaborators;
    this.executor = executor;
    this.tickets = tickets;
  }

  void register() {
    collaborators
        .peers()
        .registerHandler(
            PeerEnvelope.BodyCase.FORWARD_REQUEST, (sender, envelope) -> run(envelope));
    collaborators
        .peers()
        .registerHandler(
            PeerEnvelope.BodyCase.CANCEL_FORWARD, (sender, envelope) -> cancel(envelope));
  }

  private CompletionStage<PeerEnvelope> run(PeerEnvelope envelope) {
    ForwardRequest request = envelope.getForwardRequest();
    long deadlineNanos =
        collaborators.clock().getAsLong()
            + TimeUnit.MILLISECONDS.toNanos(request.getDeadlineMillis());
    CompletionStage<ForwardAnswer> answer =
        request.getTicket().isEmpty()
            ? executor.run(request, deadlineNanos, Optional.empty())
            : tickets.run(request, deadlineNanos);
    return answer.thenApply(result -> PeerEnvelope.newBuilder().setForwardAnswer(result).build());
  }

  private CompletionStage<PeerEnvelope> cancel(PeerEnvelope envelope) {
    executor.cancel(envelope.getCancelForward().getRequestId());
    return CompletableFuture.completedFuture(PeerEnvelope.getDefaultInstance());
  }
}
