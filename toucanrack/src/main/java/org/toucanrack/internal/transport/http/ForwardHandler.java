package org.toucanrack.internal.transport.http;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.transport.peer.PeerTransport.PeerHandler;

/** Runs requests that other VMs forward to this owner. Thread-safe. */
final class ForwardHandler implements PeerHandler {

  private final TrafficCollaborators collaborators;
  private final OwnerExecutor owner;

  ForwardHandler(TrafficCollaborators collaborators, OwnerExecutor owner) {
    this.collaborators = collaborators;
    this.owner = owner;
  }

  @Override
  public CompletionStage<PeerEnvelope> handle(Incarnation sender, PeerEnvelope envelope) {
    ForwardRequest request = envelope.getForwardRequest();
    long deadlineNanos =
        collaborators.clock().getAsLong()
            + TimeUnit.MILLISECONDS.toNanos(request.getDeadlineMillis());
    return owner.run(request, deadlineNanos).thenApply(ForwardHandler::wrap);
  }

  private static PeerEnvelope wrap(ForwardAnswer answer) {
    return PeerEnvelope.newBuilder().setForwardAnswer(answer).build();
  }
}
