package org.toucanrack.internal.transport.http;

import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.VerdictCode;

/** Builds and reads {@link ForwardAnswer}s. Stateless and thread-safe. */
final class ForwardAnswers {

  private ForwardAnswers() {}

  static ForwardAnswer notRun(ErrorCode code, String message) {
    return refusal(VerdictCode.VERDICT_NOT_RUN, code, message);
  }

  static ForwardAnswer mayHaveRun(ErrorCode code, String message) {
    return refusal(VerdictCode.VERDICT_MAY_HAVE_RUN, code, message);
  }

  static ErrorCode codeOf(ForwardAnswer answer) {
    try {
      return ErrorCode.valueOf(answer.getErrorCode());
    } catch (IllegalArgumentException e) {
      return ErrorCode.INTERNAL;
    }
  }

  /** Returns the verdict; an unknown verdict of a newer peer counts as may-have-run. */
  static Verdict verdictOf(ForwardAnswer answer) {
    return switch (answer.getVerdict()) {
      case VERDICT_RAN -> Verdict.RAN;
      case VERDICT_NOT_RUN -> Verdict.NOT_RUN;
      default -> Verdict.MAY_HAVE_RUN;
    };
  }

  private static ForwardAnswer refusal(VerdictCode verdict, ErrorCode code, String message) {
    return ForwardAnswer.newBuilder()
        .setVerdict(verdict)
        .setErrorCode(code.name())
        .setMessage(message)
        .setStatus(RefusalStatus.of(code))
        .build();
  }
}
