package org.toucanrack.internal.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Validates request targets. Rejects targets that a backend server could resolve to another path
 * than the matched route: dot segments, empty segments and encoded separators. Stateless and
 * thread-safe.
 */
public final class RequestTarget {

  private static final char FIRST_VISIBLE = 0x21;
  private static final char LAST_VISIBLE = 0x7e;
  private static final int ESCAPE_DIGITS = 2;
  private static final int HEXADECIMAL = 16;

  private RequestTarget() {}

  /** Returns whether path and query are well-formed and the path is unambiguous. */
  public static boolean isAcceptable(String target) {
    if (!target.startsWith("/") || !hasOnlyAllowedCharacters(target)) {
      return false;
    }
    int query = target.indexOf('?');
    return decode(target).isPresent()
        && isUnambiguous(query < 0 ? target : target.substring(0, query));
  }

  /** Decodes percent escapes once; empty if an escape is malformed. */
  public static Optional<String> decode(String text) {
    if (text.indexOf('%') < 0) {
      return Optional.of(text);
    }
    byte[] decoded = new byte[text.length()];
    int length = 0;
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) != '%') {
        decoded[length++] = (byte) text.charAt(i);
        continue;
      }
      int value = decodeEscape(text, i + 1);
      if (value < 0) {
        return Optional.empty();
      }
      decoded[length++] = (byte) value;
      i += ESCAPE_DIGITS;
    }
    return Optional.of(new String(decoded, 0, length, StandardCharsets.ISO_8859_1));
  }

  private static int decodeEscape(String text, int from) {
    if (from + ESCAPE_DIGITS > text.length()) {
      return -1;
    }
    int high = Character.digit(text.charAt(from), HEXADECIMAL);
    int low = Character.digit(text.charAt(from + 1), HEXADECIMAL);
    return high < 0 || low < 0 ? -1 : high * HEXADECIMAL + low;
  }

  private static boolean hasOnlyAllowedCharacters(String target) {
    return target
        .chars()
        .allMatch(c -> c >= FIRST_VISIBLE && c <= LAST_VISIBLE && c != '#' && c != '\\');
  }

  private static boolean isUnambiguous(String path) {
    String decoded = decode(path).orElse("");
    boolean encodedSeparator =
        countSeparators(decoded) != countSeparators(path)
            || decoded.indexOf('\\') >= 0
            || decoded.chars().anyMatch(c -> c < ' ');
    return !encodedSeparator && !decoded.contains("//") && !hasDotSegment(decoded);
  }

  private static long countSeparators(String path) {
    return path.chars().filter(c -> c == '/' || c == ';' || c == '?').count();
  }

  private static boolean hasDotSegment(String path) {
    for (String segment : path.split("/")) {
      int parameters = segment.indexOf(';');
      String name = parameters < 0 ? segment : segment.substring(0, parameters);
      if (name.equals(".") || name.equals("..")) {
        return true;
      }
    }
    return false;
  }
}
