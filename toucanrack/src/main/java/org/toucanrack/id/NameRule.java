package org.toucanrack.id;

import java.util.regex.Pattern;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * Checks names used as ids: 1 to 63 of {@code a-z 0-9 . _ -}, the first a letter or digit.
 * Stateless and thread-safe.
 */
final class NameRule {

  private static final int MAX_NAME_LENGTH = 63;
  private static final Pattern NAME =
      Pattern.compile("[a-z0-9]([a-z0-9._-]{0," + (MAX_NAME_LENGTH - 1) + "})?");

  private NameRule() {}

  static void check(String kind, String value) {
    if (value == null || !NAME.matcher(value).matches()) {
      throw new ToucanrackException(
          ErrorCode.INVALID_NAME,
          ("The %s name '%s' is not valid. Use 1 to %d of a-z, 0-9, '.', '_' and '-',"
                  + " starting with a letter or digit.")
              .formatted(kind, value, MAX_NAME_LENGTH));
    }
  }
}
