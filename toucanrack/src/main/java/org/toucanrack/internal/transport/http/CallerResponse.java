package org.toucanrack.internal.transport.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.toucanrack.Verdict;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.HeaderField;

/** Converts answers to responses for callers. Stateless and thread-safe. */
final class CallerResponse {

  private static final long MILLIS_PER_SECOND = 1000;

  private CallerResponse() {}

  static ForwardAnswer withRetryAfter(ForwardAnswer answer, long retryAfterMillis) {
    long seconds = Math.max(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    return answer.toBuilder()
        .addHeaders(
            HeaderField.newBuilder().setName("Retry-After").setValue(Long.toString(seconds)))
        .build();
  }

  static HttpResponse of(ForwardAnswer answer, boolean closesConnection) {
    Verdict verdict = ForwardAnswers.verdictOf(answer);
    HttpResponse.Builder response = HttpResponse.ofCode(answer.getStatus());
    for (HeaderField field : answer.getHeadersList()) {
      response.withHeader(HttpHeaders.of(field.getName()), field.getValue());
    }
    response.withHeader(HttpHeaders.of("Toucanrack-Verdict"), verdict.headerValue());
    if (closesConnection) {
      response.withHeader(HttpHeaders.CONNECTION, "close");
    }
    if (verdict == Verdict.RAN) {
      return response.withBody(answer.getBody().toByteArray()).build();
    }
    return response.withJson(Refusals.json(answer)).build();
  }
}
