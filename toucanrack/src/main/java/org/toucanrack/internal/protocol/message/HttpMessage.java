package org.toucanrack.internal.protocol.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A complete request or response with its decoded body. Thread-safe as long as the body array,
 * which is not copied, is not modified.
 *
 * @param startLine request line or status line
 * @param fields header fields in the order received
 * @param body the body without transfer encoding
 * @param closeDelimited whether the body ended with the connection, for lack of a stated length
 */
public record HttpMessage(
    String startLine, List<HttpField> fields, byte[] body, boolean closeDelimited) {

  private static final byte[] NO_BODY = {};

  /** Memory of the objects of a message and of a field, besides the characters and the body. */
  private static final int MESSAGE_OVERHEAD_BYTES = 128;

  private static final int FIELD_OVERHEAD_BYTES = 112;

  /** Copies the fields. */
  public HttpMessage {
    Objects.requireNonNull(startLine, "startLine");
    fields = List.copyOf(fields);
    Objects.requireNonNull(body, "body");
  }

  /** Creates a message with a body of known length. */
  public static HttpMessage of(String startLine, List<HttpField> fields, byte[] body) {
    return new HttpMessage(startLine, fields, body, false);
  }

  /** Creates a message without a body. */
  public static HttpMessage of(String startLine, List<HttpField> fields) {
    return of(startLine, fields, NO_BODY);
  }

  /** Returns the value of the first field with this name, ignoring case. */
  public Optional<String> field(String name) {
    for (HttpField field : fields) {
      if (field.isNamed(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  /** Returns the method of a request. */
  public String method() {
    return startLine.substring(0, startLine.indexOf(' '));
  }

  /** Returns the request target: path and query. */
  public String target() {
    int start = startLine.indexOf(' ') + 1;
    return startLine.substring(start, startLine.indexOf(' ', start));
  }

  /** Returns the status of a response. */
  public int status() {
    return StatusLine.statusOf(startLine);
  }

  /** Returns whether the sender closes the connection after this message. */
  public boolean closesConnection() {
    return closeDelimited
        || fields.stream()
            .anyMatch(
                field ->
                    field.isNamed("connection") && field.value().toLowerCase().contains("close"));
  }

  /** Returns the approximate memory in bytes that the message needs. */
  public long memoryBytes() {
    return headMemoryBytes(startLine, fields) + body.length;
  }

  static long headMemoryBytes(String startLine, List<HttpField> fields) {
    long bytes = MESSAGE_OVERHEAD_BYTES + startLine.length();
    for (HttpField field : fields) {
      bytes += FIELD_OVERHEAD_BYTES + field.name().length() + field.value().length();
    }
    return bytes;
  }

  /**
   * Returns the encoded message in one array. Adds Content-Length if the body is not empty or
   * {@code includeZeroLength} is set.
   */
  public byte[] encode(boolean includeZeroLength) {
    byte[] head = encodeHead(includeZeroLength);
    byte[] bytes = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, bytes, head.length, body.length);
    return bytes;
  }

  /** Returns the message like {@link #encode}, with this body instead of a copy of it. */
  public EncodedMessage encoded(boolean includeZeroLength) {
    return new EncodedMessage(encodeHead(includeZeroLength), body);
  }

  private byte[] encodeHead(boolean includeZeroLength) {
    StringBuilder head = new StringBuilder(256).append(startLine).append("\r\n");
    for (HttpField field : fields) {
      head.append(field.name()).append(": ").append(field.value()).append("\r\n");
    }
    if (body.length > 0 || includeZeroLength) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
