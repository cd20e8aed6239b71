package org.toucanrack.internal.protocol;

import java.util.List;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * Determines whether the end of a backend server's response is unambiguous. ActiveJ treats a
 * response with neither Content-Length nor chunked encoding as complete when the connection closes,
 * and a 1xx response as final. Stateless and thread-safe.
 */
public final class ResponseFraming {

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /** Returns whether the headers of a response prove that a received body is complete. */
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
