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

/** Runs requests with tickets at the home VM of their ticket. Thread-safe. */
final class TicketDesk {

  private static final int SECRET_BYTES = 32;

  private final TrafficCollaborators collaborators;
  private final AttemptSender forwards;
  private final RequestSender sender;
  private final ForwardedRequests forwarded;
  private volatile Home home;

  /** The register lives as long as the incarnation that issued its tickets. */
  private record Home(Incarnation self, TicketRegistry<ForwardAnswer> register) {}

  TicketDesk(TrafficCollaborators collaborators, AttemptSender forwards, RequestSender sender) {
    this.collaborators = collaborators;
    this.forwards = forwards;
    this.sender = sender;
    this.forwarded = new ForwardedRequests(collaborators);
  }

  String issue() {
    return register().issue(collaborators.clock().getAsLong());
  }

  /** Runs a caller's request at the home of its ticket, here or on another VM. */
  CompletionStage<ForwardAnswer> send(AdmittedRequest request, String text) {
    Optional<TicketId> ticket = TicketId.parse(text);
    if (ticket.isEmpty()) {
      return CompletableFuture.completedFuture(
          Answers.notRun(ErrorCode.TICKET_UNKNOWN, "The ticket is not valid. Get a new one."));
    }
    Member member = collaborators.snapshot().get().members().get(ticket.get().issuer());
    if (ticket.get().issuer().equals(self())) {
      return use(request, ticket.get());
    }
    if (member == null) {
      return CompletableFuture.completedFuture(
          Answers.mayHaveRun(
              ErrorCode.TICKET_HOME_LOST,
              "The VM that issued the ticket is gone. Check whether the request ran."));
    }
    return forwards
        .forward(member, forwards.message(request).setTicket(text).build())
        .thenApply(TicketDesk::unlessHomeAnswered);
  }

  /** Runs a request that another VM sent to this home. */
  CompletionStage<ForwardAnswer> run(ForwardRequest message, long deadlineNanos) {
    Optional<TicketId> ticket = TicketId.parse(message.getTicket());
    Optional<AdmittedRequest> request = forwarded.admitted(message, deadlineNanos);
    if (ticket.isEmpty() || request.isEmpty()) {
      return CompletableFuture.completedFuture(
          Answers.notRun(ErrorCode.UNKNOWN_ROUTE, "The ticket's home does not know the route."));
    }
    return use(request.get(), ticket.get());
  }

  private CompletionStage<ForwardAnswer> use(AdmittedRequest request, TicketId ticket) {
    TicketRegistry<ForwardAnswer> register = register();
    TicketUse<ForwardAnswer> use =
        register.use(ticket, fingerprint(request), collaborators.clock().getAsLong());
    if (use instanceof TicketUse.Repeat<ForwardAnswer> repeat) {
      return awaited(repeat.outcome(), request);
    }
    if (use instanceof TicketUse.Refused<ForwardAnswer> refused) {
      return CompletableFuture.completedFuture(
          refused.verdict() == Verdict.NOT_RUN
              ? Answers.notRun(refused.code(), refused.message())
              : Answers.mayHaveRun(refused.code(), refused.message()));
    }
    return sender
        .send(request)
        .whenComplete(
            (answer, failure) -> register.complete(ticket, Answers.verdictOf(answer), answer));
  }

  private CompletionStage<ForwardAnswer> awaited(
      CompletableFuture<ForwardAnswer> outcome, AdmittedRequest request) {
    long left = request.deadlineNanos() - collaborators.clock().getAsLong();
    ForwardAnswer late =
        Answers.mayHaveRun(
            ErrorCode.DEADLINE_EXCEEDED, "The first use of the ticket is still running.");
    return outcome.completeOnTimeout(late, Math.max(0, left), TimeUnit.NANOSECONDS);
  }

  /** An earlier use may have run, so a home that cannot be reached is never "not run". */
  private static ForwardAnswer unlessHomeAnswered(ForwardAnswer answer) {
    return Answers.verdictOf(answer) == Verdict.NOT_RUN
            && Answers.codeOf(answer) == ErrorCode.OWNER_UNREACHABLE
        ? Answers.mayHaveRun(
            ErrorCode.OWNER_UNREACHABLE, "The VM that issued the ticket could not be reached.")
        : answer;
  }

  private TicketRegistry<ForwardAnswer> register() {
    Home current = home;
    if (current == null || !current.self().equals(self())) {
      current = newHome();
    }
    return current.register();
  }

  private synchronized Home newHome() {
    if (home == null || !home.self().equals(self())) {
      byte[] secret = new byte[SECRET_BYTES];
      new SecureRandom().nextBytes(secret);
      home =
          new Home(
              self(),
              new TicketRegistry<>(
                  self(),
                  secret,
                  ForwardAnswer::getSerializedSize,
                  collaborators.clock().getAsLong()));
    }
    return home;
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
