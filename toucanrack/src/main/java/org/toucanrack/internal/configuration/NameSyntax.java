package org.toucanrack.internal.configuration;

import java.util.regex.Pattern;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * Checks the syntax of names without an id type, which are those of deployments and keys. Stateless
 * and thread-safe.
 */
public final class NameSyntax {

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private NameSyntax() {}

  /** Returns the name, or throws with {@code INVALID_NAME}. */
  public static String check(String kind, String name) {
    if (!NAME.matcher(name).matches()) {
      throw new ToucanrackException(
          ErrorCode.INVALID_NAME,
          ("The %s name '%s' is not valid. Use 1 to 63 of a-z, 0-9, '.', '_' and '-',"
                  + " starting with a letter or digit.")
              .formatted(kind, name));
    }
    return name;
  }
}
