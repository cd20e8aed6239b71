package org.toucanrack.internal.protocol;

/** Reason for which the framing check rejected a connection. */
public enum FramingViolation {
  HEADERS_TOO_LARGE("The headers are over 16 KiB."),
  BARE_LINE_END("A carriage return or line feed stands alone."),
  BAD_REQUEST_LINE("The request line is malformed or not HTTP/1.1."),
  BAD_TARGET("The request target is malformed, has dot segments or encoded separators."),
  BAD_HEADER("A header line is malformed or folded."),
  BAD_HOST("There must be exactly one Host header."),
  BAD_LENGTH("Content-Length is repeated or not a number."),
  BAD_TRANSFER_ENCODING("Transfer-Encoding must be exactly 'chunked'."),
  LENGTH_AND_TRANSFER_ENCODING("Content-Length and Transfer-Encoding exclude each other."),
  TWO_KEYS("There must be at most one key header."),
  UNSUPPORTED_UPGRADE("Upgrades and expectations other than 100-continue are not supported."),
  BAD_CHUNK("The chunked body is malformed.");

  private final String message;

  FramingViolation(String message) {
    this.message = message;
  }

  /** Returns a description for the caller. */
  public String message() {
    return message;
  }
}
