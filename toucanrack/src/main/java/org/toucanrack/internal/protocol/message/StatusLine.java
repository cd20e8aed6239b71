package org.toucanrack.internal.protocol.message;

/** Validates and parses status lines. Stateless and thread-safe. */
final class StatusLine {

  private static final String VERSION = "HTTP/1.1 ";
  private static final int STATUS_DIGITS = 3;

  private StatusLine() {}

  static boolean isValid(String line) {
    int end = VERSION.length() + STATUS_DIGITS;
    return line.startsWith(VERSION)
        && line.length() >= end
        && (line.length() == end || line.charAt(end) == ' ')
        && line.charAt(VERSION.length()) >= '1'
        && line.charAt(VERSION.length()) <= '5'
        && Character.isDigit(line.charAt(VERSION.length() + 1))
        && Character.isDigit(line.charAt(VERSION.length() + 2));
  }

  static int statusOf(String line) {
    return Integer.parseInt(line.substring(VERSION.length(), VERSION.length() + STATUS_DIGITS));
  }
}
