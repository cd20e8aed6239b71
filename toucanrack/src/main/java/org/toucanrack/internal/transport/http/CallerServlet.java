package org.toucanrack.internal.transport.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.internal.coordination.limit.RateDecision;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/** Serves callers' requests. Thread-safe; shared by all event loops of the callers' port. */
final class CallerServlet implements AsyncServlet {

  private static final Logger LOGGER = System.getLogger(CallerServlet.class.getName());
  private static final HttpHeader TICKET_HEADER = HttpHeaders.of("Toucanrack-Ticket");
  private static final int MAX_CONTROL_BODY_BYTES = 1024;
  private static final ForwardAnswer BODY_TOO_LARGE =
      ForwardAnswers.notRun(ErrorCode.BODY_TOO_LARGE, "The body is over the route's limit.");

  private final TrafficCollaborators collaborators;
  private final Admission admission;
  private final RequestSender sender;
  private final TicketCoordinator tickets;
  private final ControlServlet control;
  private final BooleanSupplier closesConnections;

  CallerServlet(
      TrafficCollaborators collaborators,
      Admission admission,
      RequestSender sender,
      TicketCoordinator tickets,
      ControlServlet control,
      BooleanSupplier closesConnections) {
    this.collaborators = collaborators;
    this.admission = admission;
    this.sender = sender;
    this.tickets = tickets;
    this.control = control;
    this.closesConnections = closesConnections;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    CheckedSocket socket = (CheckedSocket) request.getConnection().getUserData();
    socket.beginServing();
    return answer(request, socket)
        .then(Promise::of, failure -> Promise.of(internalError(failure)))
        .whenComplete(socket::endServing);
  }

  /** Logs at debug level only, since this also happens when a caller closes its connection. */
  private static HttpResponse internalError(Exception failure) {
    LOGGER.log(Level.DEBUG, "[traffic] A request ended without a response.", failure);
    return CallerResponse.of(
        ForwardAnswers.mayHaveRun(ErrorCode.INTERNAL, "The request failed in this VM."), false);
  }

  private Promise<HttpResponse> answer(HttpRequest request, CheckedSocket socket) {
    if (request.getPath().startsWith(ControlServlet.PATH_PREFIX)) {
      return BodyReader.read(request, MAX_CONTROL_BODY_BYTES)
          .map(
              body ->
                  body.isEmpty()
                      ? refused(request, socket, BODY_TOO_LARGE)
                      : control.serve(request));
    }
    long arrivedNanos = collaborators.clock().getAsLong();
    Admission.Result result = admission.admit(request, arrivedNanos);
    if (result.admitted() == null) {
      return Promise.of(refused(request, socket, result.refusal()));
    }
    AdmittedRequest admitted = result.admitted();
    if (declaredContentLength(request) > admitted.route().maxBodyBytes()) {
      return Promise.of(refused(request, socket, BODY_TOO_LARGE));
    }
    return BodyReader.read(request, admitted.route().maxBodyBytes())
        .then(
            body ->
                body.isEmpty()
                    ? Promise.of(refused(request, socket, BODY_TOO_LARGE))
                    : Promise.ofCompletionStage(run(request, admitted.withBody(body.get())))
                        .map(answer -> respond(admitted, answer, socket)));
  }

  /**
   * Refuses a request. If its body may be unread, the connection is closed, since the rest of the
   * body would precede the next request.
   */
  private static HttpResponse refused(
      HttpRequest request, CheckedSocket socket, ForwardAnswer refusal) {
    boolean hasBody =
        declaredContentLength(request) > 0
            || request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    if (hasBody) {
      socket.closeAfterResponse();
    }
    return CallerResponse.of(refusal, hasBody);
  }

  private static long declaredContentLength(HttpRequest request) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    return length == null ? 0 : Long.parseLong(length.strip());
  }

  /** Checks admission again after a body, since the key may be revoked during the upload. */
  private CompletionStage<ForwardAnswer> run(HttpRequest request, AdmittedRequest admitted) {
    Admission.Result currentAdmission =
        admitted.body().isEmpty()
            ? new Admission.Result(admitted, null)
            : admission.admit(request, admitted.arrivedNanos());
    if (currentAdmission.admitted() == null) {
      return CompletableFuture.completedFuture(currentAdmission.refusal());
    }
    String ticket = request.getHeader(TICKET_HEADER);
    return collaborators
        .rateLimiter()
        .acquire(admitted.customer(), collaborators.clock().getAsLong())
        .thenCompose(
            decision ->
                decision.admitted()
                    ? send(admitted, ticket)
                    : CompletableFuture.completedFuture(rateExceeded(decision)));
  }

  private CompletionStage<ForwardAnswer> send(AdmittedRequest admitted, String ticket) {
    return ticket == null ? sender.send(admitted) : tickets.send(admitted, ticket);
  }

  private static ForwardAnswer rateExceeded(RateDecision decision) {
    return CallerResponse.withRetryAfter(
        ForwardAnswers.notRun(
            ErrorCode.RATE_EXCEEDED, "The customer's rate is used up. Retry later."),
        decision.retryAfterMillis());
  }

  private HttpResponse respond(
      AdmittedRequest admitted, ForwardAnswer answer, CheckedSocket socket) {
    collaborators
        .metrics()
        .finished(
            admitted.service().id(),
            admitted.customer(),
            answer.getStatus(),
            ForwardAnswers.verdictOf(answer),
            collaborators.clock().getAsLong() - admitted.arrivedNanos());
    boolean closesConnection = closesConnections.getAsBoolean();
    if (closesConnection) {
      socket.closeAfterResponse();
    }
    return CallerResponse.of(answer, closesConnection);
  }
}
