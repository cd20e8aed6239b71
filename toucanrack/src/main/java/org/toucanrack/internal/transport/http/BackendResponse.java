package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import java.util.List;
import org.toucanrack.ErrorCode;
import org.toucanrack.internal.protocol.HeaderRules;
import org.toucanrack.internal.protocol.ResponseFraming;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.HeaderField;
import org.toucanrack.internal.protocol.generated.VerdictCode;

/** Converts a backend server's response to an answer with a verdict. Stateless and thread-safe. */
final class BackendResponse {

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String SHED_HEADER = "Toucanrack-Shed";

  private BackendResponse() {}

  static ForwardAnswer.Builder toAnswer(int status, List<HeaderField> headers, ByteString body) {
    if (status == SERVICE_UNAVAILABLE && wasShed(headers)) {
      return ForwardAnswers.notRun(ErrorCode.OVERLOADED, "The backend server shed the request.")
          .toBuilder();
    }
    if (!ResponseFraming.isComplete(status, headers)) {
      return ForwardAnswers.mayHaveRun(
          ErrorCode.INCOMPLETE_ANSWER,
          "The backend server's response cannot be known to be complete.")
          .toBuilder();
    }
    return ForwardAnswer.newBuilder()
        .setVerdict(VerdictCode.VERDICT_RAN)
        .setStatus(status)
        .addAllHeaders(HeaderRules.forCaller(headers))
        .setBody(body);
  }

  private static boolean wasShed(List<HeaderField> headers) {
    return headers.stream()
        .anyMatch(
            field ->
                field.getName().equalsIgnoreCase(SHED_HEADER)
                    && field.getValue().strip().equals("not-run"));
  }
}
