package org.toucanrack.internal.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * Validates one complete request head more strictly than ActiveJ and determines the framing of its
 * body. Not thread-safe; use a new instance for each head.
 */
final class HeadCheck {

  private static final Set<String> METHODS =
      Set.of("GET", "PUT", "POST", "DELETE", "OPTIONS", "PATCH");
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final int REQUEST_LINE_PARTS = 3;
  private static final char DELETE = 0x7f;

  private int hostHeaders;
  private int keyHeaders;
  private int lengthHeaders;
  private int transferEncodingHeaders;
  private long length;

  /** Returns the framing of the body; {@code head} must end with an empty line. */
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
    if (colon < 1 || !isToken(line.substring(0, colon)) || hasControlCharacter(line)) {
      throw new MalformedRequest(FramingViolation.BAD_HEADER);
    }
    String value = line.substring(colon + 1).strip();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "host" -> hostHeaders++;
      case "authorization", "x-api-key" -> keyHeaders++;
      case "content-length" -> readLength(value);
      case "transfer-encoding" -> readTransferEncoding(value);
      case "upgrade" -> rejectIfUnsupported(value.toLowerCase(Locale.ROOT).contains("websocket"));
      case "expect" -> rejectIfUnsupported(!value.equalsIgnoreCase("100-continue"));
      default -> {}
    }
  }

  private static void rejectIfUnsupported(boolean unsupported) throws MalformedRequest {
    if (unsupported) {
      throw new MalformedRequest(FramingViolation.UNSUPPORTED_UPGRADE);
    }
  }

  private void readLength(String value) throws MalformedRequest {
    boolean digits = value.chars().allMatch(c -> c >= '0' && c <= '9');
    if (++lengthHeaders > 1 || value.isEmpty() || value.length() > MAX_LENGTH_DIGITS || !digits) {
      throw new MalformedRequest(FramingViolation.BAD_LENGTH);
    }
    length = Long.parseLong(value);
  }

  private void readTransferEncoding(String value) throws MalformedRequest {
    if (++transferEncodingHeaders > 1 || !value.equals("chunked")) {
      throw new MalformedRequest(FramingViolation.BAD_TRANSFER_ENCODING);
    }
  }

  private BodyFraming framing() throws MalformedRequest {
    if (lengthHeaders > 0 && transferEncodingHeaders > 0) {
      throw new MalformedRequest(FramingViolation.LENGTH_AND_TRANSFER_ENCODING);
    }
    if (hostHeaders != 1) {
      throw new MalformedRequest(FramingViolation.BAD_HOST);
    }
    if (keyHeaders > 1) {
      throw new MalformedRequest(FramingViolation.TWO_KEYS);
    }
    return new BodyFraming(transferEncodingHeaders > 0, length);
  }

  private static boolean isToken(String name) {
    return name.chars()
        .allMatch(
            c ->
                (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || TOKEN_SYMBOLS.indexOf(c) >= 0);
  }

  private static boolean hasControlCharacter(String line) {
    return line.chars().anyMatch(c -> (c < ' ' && c != '\t') || c == DELETE);
  }
}
