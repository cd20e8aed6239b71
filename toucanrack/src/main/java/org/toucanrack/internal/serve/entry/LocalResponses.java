package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.transport.relay.Responses;

/** Creates responses that do not come from a backend server. Stateless and thread-safe. */
final class LocalResponses {

  private static final double MILLIS_PER_SECOND = 1000;

  private LocalResponses() {}

  /**
   * Returns a response that promises that the request has not run; the caller may send it again
   * after the pause in {@code Retry-After}.
   */
  static HttpMessage notRun(int status, Duration retryAfter) {
    String seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLIS_PER_SECOND);
    return HttpMessage.of(
        Responses.statusLine(status), List.of(new HttpField("Retry-After", seconds)));
  }

  /** Returns a response that promises nothing about whether the request has run. */
  static HttpMessage statusOnly(int status) {
    return HttpMessage.of(Responses.statusLine(status), List.of());
  }
}
