package org.toucanrack.internal.protocol;

import java.util.List;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * Says whether the end of a backend server's response was certain. ActiveJ takes a response with
 * neither Content-Length nor chunks as complete when the connection closes, and a 1xx response as
 * final. Stateless and thread-safe.
 */
public final class ResponseFraming {

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /** Returns whether a response with these headers was known to be complete. */
  public static boolean isComplete(int status, List<HeaderField> headers) {
    if (status < FIRST_FINAL_STATUS) {
      return false;
    }
    if (status == NO_CONTENT || status == NOT_MODIFIED) {
      return true;
    }
    long lengths = count(headers, "content-length");
    long encodings = count(headers, "transfer-encoding");
    return lengths + encodings == 1 && (encodings == 0 || isChunked(headers));
  }

  private static long count(List<HeaderField> headers, String name) {
    return headers.stream().filter(field -> field.getName().equalsIgnoreCase(name)).count();
  }

  private static boolean isChunked(List<HeaderField> headers) {
    return headers.stream()
        .filter(field -> field.getName().equalsIgnoreCase("transfer-encoding"))
        .allMatch(field -> field.getValue().strip().equalsIgnoreCase("chunked"));
  }
}
