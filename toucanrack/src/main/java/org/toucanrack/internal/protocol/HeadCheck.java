package org.toucanrack.internal.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * Checks one complete request head, stricter than ActiveJ, and finds how its body ends. Not
 * thread-safe; used once.
 */
final class HeadCheck {

  private static final Set<String> METHODS =
      Set.of("GET", "PUT", "POST", "DELETE", "OPTIONS", "PATCH");
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final int REQUEST_LINE_PARTS = 3;
  private static final char DELETE = 0x7f;

  private int hosts;
  private int keys;
  private int lengths;
  private int transferEncodings;
  private long length;

  /** Returns the framing of the body; the head ends with an empty line. */
  BodyFraming check(byte[] head, int size) throws MalformedRequest {
    String[] lines = new String(head, 0, size, StandardCharsets.ISO_8859_1).split("\r\n");
    checkRequestLine(lines.length == 0 ? "" : lines[0]);
    for (int i = 1; i < lines.length; i++) {
      checkHeader(lines[i]);
    }
    return framing();
  }

  private static void checkRequestLine(String line) throws MalformedRequest {
    String[] parts = line.split(" ", -1);
    if (parts.length != REQUEST_LINE_PARTS
        || !METHODS.contains(parts[0])
        || !parts[2].equals("HTTP/1.1")) {
      throw new MalformedRequest(FramingViolation.BAD_REQUEST_LINE);
    }
    if (!RequestTarget.isAcceptable(parts[1])) {
      throw new MalformedRequest(FramingViolation.BAD_TARGET);
    }
  }

  private void checkHeader(String line) throws MalformedRequest {
    int colon = line.indexOf(':');
    if (colon < 1 || !isToken(line.substring(0, colon)) || hasControl(line)) {
      throw new MalformedRequest(FramingViolation.BAD_HEADER);
    }
    String value = line.substring(colon + 1).strip();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "host" -> hosts++;
      case "authorization", "x-api-key" -> keys++;
      case "content-length" -> readLength(value);
      case "transfer-encoding" -> readTransferEncoding(value);
      case "upgrade" -> requireNo(value.toLowerCase(Locale.ROOT).contains("websocket"));
      case "expect" -> requireNo(!value.equalsIgnoreCase("100-continue"));
      default -> {}
    }
  }

  private static void requireNo(boolean unsupported) throws MalformedRequest {
    if (unsupported) {
      throw new MalformedRequest(FramingViolation.UNSUPPORTED_UPGRADE);
    }
  }

  private void readLength(String value) throws MalformedRequest {
    boolean digits = value.chars().allMatch(c -> c >= '0' && c <= '9');
    if (++lengths > 1 || value.isEmpty() || value.length() > MAX_LENGTH_DIGITS || !digits) {
      throw new MalformedRequest(FramingViolation.BAD_LENGTH);
    }
    length = Long.parseLong(value);
  }

  private void readTransferEncoding(String value) throws MalformedRequest {
    if (++transferEncodings > 1 || !value.equals("chunked")) {
      throw new MalformedRequest(FramingViolation.BAD_TRANSFER_ENCODING);
    }
  }

  private BodyFraming framing() throws MalformedRequest {
    if (lengths > 0 && transferEncodings > 0) {
      throw new MalformedRequest(FramingViolation.LENGTH_AND_TRANSFER_ENCODING);
    }
    if (hosts != 1) {
      throw new MalformedRequest(FramingViolation.BAD_HOST);
    }
    if (keys > 1) {
      throw new MalformedRequest(FramingViolation.TWO_KEYS);
    }
    return new BodyFraming(transferEncodings > 0, length);
  }

  private static boolean isToken(String name) {
    return name.chars()
        .allMatch(
            c ->
                (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || TOKEN_MARKS.indexOf(c) >= 0);
  }

  private static boolean hasControl(String line) {
    return line.chars().anyMatch(c -> (c < ' ' && c != '\t') || c == DELETE);
  }
}
