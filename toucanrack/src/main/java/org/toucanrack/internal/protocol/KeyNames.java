package org.toucanrack.internal.protocol;

import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Detects query parameters and cookies whose name suggests that they contain a key. Stateless and
 * thread-safe.
 */
public final class KeyNames {

  private static final Set<String> NAMES =
      Set.of("key", "api_key", "api-key", "apikey", "x-api-key", "access_token", "authorization");
  private static final Pattern QUERY_SEPARATORS = Pattern.compile("[&;]");
  private static final Pattern COOKIE_SEPARATORS = Pattern.compile("[;,]");

  private KeyNames() {}

  /** Returns whether a query parameter of the target has the name of a key. */
  public static boolean inQuery(String target) {
    int query = target.indexOf('?');
    return query >= 0 && hasKeyName(QUERY_SEPARATORS, target.substring(query + 1));
  }

  /** Returns whether a cookie in the header value has the name of a key. */
  public static boolean inCookies(String headerValue) {
    return hasKeyName(COOKIE_SEPARATORS, headerValue);
  }

  private static boolean hasKeyName(Pattern separators, String list) {
    return separators.splitAsStream(list).anyMatch(KeyNames::isKey);
  }

  private static boolean isKey(String pair) {
    int equals = pair.indexOf('=');
    String raw = equals < 0 ? pair : pair.substring(0, equals);
    String name = RequestTarget.decode(raw).orElse(raw).replace('+', ' ').strip();
    return NAMES.contains(name.toLowerCase(Locale.ROOT));
  }
}
