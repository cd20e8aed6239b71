package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.toucanrack.ErrorCode;
import org.toucanrack.internal.coordination.limit.RateDecision;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/** Serves the requests of callers on one event loop. */
final class CallerServlet implements AsyncServlet {

  private final TrafficCollaborators collaborators;
  private final Admission admission;
  private final RequestSender sender;

  CallerServlet(TrafficCollaborators collaborators, Admission admission, RequestSender sender) {
    this.collaborators = collaborators;
    this.admission = admission;
    this.sender = sender;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    long arrivedNanos = collaborators.clock().getAsLong();
    Admission.Result result = admission.admit(request, arrivedNanos);
    if (result.admitted() == null) {
      return Promise.of(CallerResponse.of(result.refusal()));
    }
    AdmittedRequest admitted = result.admitted();
    return request
        .loadBody(admitted.route().maxBodyBytes())
        .then(
            body -> {
              ByteString bytes = ByteString.copyFrom(body.getArray());
              return Promise.ofCompletionStage(run(admitted.withBody(bytes)));
            },
            failure ->
                Promise.of(
                    Answers.notRun(
                        ErrorCode.BODY_TOO_LARGE,
                        "The body is over the route's limit or incomplete.")))
        .map(answer -> answered(admitted, answer));
  }

  private CompletionStage<ForwardAnswer> run(AdmittedRequest admitted) {
    return collaborators
        .rateLimiter()
        .acquire(admitted.customer(), collaborators.clock().getAsLong())
        .thenCompose(
            decision ->
                decision.admitted()
                    ? sender.send(admitted)
                    : CompletableFuture.completedFuture(limited(decision)));
  }

  private static ForwardAnswer limited(RateDecision decision) {
    return CallerResponse.withRetryAfter(
        Answers.notRun(ErrorCode.RATE_EXCEEDED, "The customer's rate is used up. Retry later."),
        decision.retryAfterMillis());
  }

  private HttpResponse answered(AdmittedRequest admitted, ForwardAnswer answer) {
    collaborators
        .metrics()
        .finished(
            admitted.service().id(),
            admitted.customer(),
            answer.getStatus(),
            Answers.verdictOf(answer),
            collaborators.clock().getAsLong() - admitted.arrivedNanos());
    return CallerResponse.of(answer);
  }
}
