package org.toucanrack.internal.transport.relay;

import java.util.OptionalLong;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * Reads the idle timeout that a server announces in a Keep-Alive header. Stateless and thread-safe.
 */
final class KeepAliveHeader {

  private static final String TIMEOUT_PARAMETER = "timeout=";
  private static final int MAX_TIMEOUT_DIGITS = 6;
  private static final long MILLIS_PER_SECOND = 1000;

  private KeepAliveHeader() {}

  static OptionalLong timeoutMillis(HttpMessage response) {
    String value = response.field("Keep-Alive").orElse("");
    for (String parameter : value.split(",")) {
      String text = parameter.strip();
      if (text.startsWith(TIMEOUT_PARAMETER)) {
        String digits = text.substring(TIMEOUT_PARAMETER.length());
        if (digits.matches("[0-9]{1," + MAX_TIMEOUT_DIGITS + "}")) {
          return OptionalLong.of(Long.parseLong(digits) * MILLIS_PER_SECOND);
        }
      }
    }
    return OptionalLong.empty();
  }
}
