package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.ticket.TicketId;
import org.toucanrack.internal.coordination.ticket.TicketRegistry;
import org.toucanrack.internal.coordination.ticket.TicketUse;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.state.Member;

/** Issues tickets, and runs each request with a ticket on the VM that issued it. Thread-safe. */
final class TicketCoordinator {

  private static final int SECRET_BYTES = 32;

  private final TrafficCollaborators collaborators;
  private final AttemptSender attemptSender;
  private final RequestSender sender;
  private final ForwardedRequests forwardedRequests;
  private volatile IssuedTickets issuedTickets;

  /** The tickets that one incarnation of this VM issued; they are dropped with the incarnation. */
  private record IssuedTickets(Incarnation issuer, TicketRegistry<ForwardAnswer> registry) {}

  TicketCoordinator(
      TrafficCollaborators collaborators, AttemptSender attemptSender, RequestSender sender) {
    this.collaborators = collaborators;
    this.attemptSender = attemptSender;
    this.sender = sender;
    this.forwardedRequests = new ForwardedRequests(collaborators);
  }

  String issue() {
    return registry().issue(collaborators.clock().getAsLong());
  }

  /** Runs a caller's request on the VM that issued its ticket, which is this VM or another one. */
  CompletionStage<ForwardAnswer> send(AdmittedRequest request, String ticketText) {
    Optional<TicketId> ticket = TicketId.parse(ticketText);
    if (ticket.isEmpty()) {
      return CompletableFuture.completedFuture(
          ForwardAnswers.notRun(
              ErrorCode.TICKET_UNKNOWN, "The ticket is not valid. Get a new one."));
    }
    Member issuer = collaborators.snapshot().get().members().get(ticket.get().issuer());
    if (ticket.get().issuer().equals(self())) {
      return runOnce(request, ticket.get());
    }
    if (issuer == null) {
      return CompletableFuture.completedFuture(
          ForwardAnswers.mayHaveRun(
              ErrorCode.TICKET_HOME_LOST,
              "The VM that issued the ticket is gone. Check whether the request ran."));
    }
    return attemptSender
        .forward(issuer, attemptSender.toMessage(request).setTicket(ticketText).build())
        .thenApply(TicketCoordinator::reportUnreachableIssuerAsMayHaveRun);
  }

  /** Runs a request that another VM forwarded because this VM issued its ticket. */
  CompletionStage<ForwardAnswer> run(ForwardRequest message, long deadlineNanos) {
    Optional<TicketId> ticket = TicketId.parse(message.getTicket());
    Optional<AdmittedRequest> request = forwardedRequests.toAdmitted(message, deadlineNanos);
    if (ticket.isEmpty() || request.isEmpty()) {
      return CompletableFuture.completedFuture(
          ForwardAnswers.notRun(
              ErrorCode.UNKNOWN_ROUTE, "The ticket's home does not know the route."));
    }
    return runOnce(request.get(), ticket.get());
  }

  private CompletionStage<ForwardAnswer> runOnce(AdmittedRequest request, TicketId ticket) {
    TicketRegistry<ForwardAnswer> registry = registry();
    TicketUse<ForwardAnswer> use =
        registry.use(ticket, fingerprint(request), collaborators.clock().getAsLong());
    if (use instanceof TicketUse.Repeat<ForwardAnswer> repeat) {
      return awaitOutcome(repeat.outcome(), request);
    }
    if (use instanceof TicketUse.Refused<ForwardAnswer> refused) {
      return CompletableFuture.completedFuture(
          refused.verdict() == Verdict.NOT_RUN
              ? ForwardAnswers.notRun(refused.code(), refused.message())
              : ForwardAnswers.mayHaveRun(refused.code(), refused.message()));
    }
    return sender
        .send(request)
        .whenComplete(
            (answer, failure) ->
                registry.complete(ticket, ForwardAnswers.verdictOf(answer), answer));
  }

  private CompletionStage<ForwardAnswer> awaitOutcome(
      CompletableFuture<ForwardAnswer> outcome, AdmittedRequest request) {
    long remainingNanos = request.deadlineNanos() - collaborators.clock().getAsLong();
    ForwardAnswer timeoutAnswer =
        ForwardAnswers.mayHaveRun(
            ErrorCode.DEADLINE_EXCEEDED, "The first use of the ticket is still running.");
    return outcome.completeOnTimeout(
        timeoutAnswer, Math.max(0, remainingNanos), TimeUnit.NANOSECONDS);
  }

  /** An earlier use of the ticket may have run, so an unreachable issuer never means not-run. */
  private static ForwardAnswer reportUnreachableIssuerAsMayHaveRun(ForwardAnswer answer) {
    return ForwardAnswers.verdictOf(answer) == Verdict.NOT_RUN
            && ForwardAnswers.codeOf(answer) == ErrorCode.OWNER_UNREACHABLE
        ? ForwardAnswers.mayHaveRun(
            ErrorCode.OWNER_UNREACHABLE, "The VM that issued the ticket could not be reached.")
        : answer;
  }

  private TicketRegistry<ForwardAnswer> registry() {
    IssuedTickets current = issuedTickets;
    if (current == null || !current.issuer().equals(self())) {
      current = replaceIssuedTickets();
    }
    return current.registry();
  }

  private synchronized IssuedTickets replaceIssuedTickets() {
    if (issuedTickets == null || !issuedTickets.issuer().equals(self())) {
      byte[] secret = new byte[SECRET_BYTES];
      new SecureRandom().nextBytes(secret);
      issuedTickets =
          new IssuedTickets(
              self(),
              new TicketRegistry<>(
                  self(),
                  secret,
                  ForwardAnswer::getSerializedSize,
                  collaborators.clock().getAsLong()));
    }
    return issuedTickets;
  }

  private Incarnation self() {
    return collaborators.snapshot().get().self().incarnation();
  }

  private static String fingerprint(AdmittedRequest request) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      String head =
          String.join(
              "\n",
              request.customer().value(),
              request.service().id().value(),
              request.method(),
              request.target());
      digest.update(ByteString.copyFrom(head, StandardCharsets.UTF_8).toByteArray());
      digest.update((byte) '\n');
      return HexFormat.of().formatHex(digest.digest(request.body().toByteArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
