package org.toucanrack.internal.transport.relay;

import java.util.OptionalLong;
import org.toucanrack.internal.protocol.message.HttpMessage;

/** Reads the idle timeout that a server announces. Stateless and thread-safe. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";
  private static final int MAX_DIGITS = 6;
  private static final long MILLIS_PER_SECOND = 1000;

  private KeepAlive() {}

  static OptionalLong timeoutMillis(HttpMessage answer) {
    String value = answer.field("Keep-Alive").orElse("");
    for (String part : value.split(",")) {
      String text = part.strip();
      if (text.startsWith(TIMEOUT)) {
        String digits = text.substring(TIMEOUT.length());
        if (digits.matches("[0-9]{1," + MAX_DIGITS + "}")) {
          return OptionalLong.of(Long.parseLong(digits) * MILLIS_PER_SECOND);
        }
      }
    }
    return OptionalLong.empty();
  }
}
