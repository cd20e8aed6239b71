package org.toucanrack.internal.protocol;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * Filters the headers that are forwarded between callers and backend servers. Stateless and
 * thread-safe.
 *
 * <p>Requests use an allow list, so that a key in an unknown header is not forwarded.
 * Accept-Encoding is not on it, since ActiveJ's client decodes gzip itself.
 */
public final class HeaderRules {

  private static final Set<String> ALLOWED_REQUEST_HEADERS =
      Set.of(
          "accept",
          "accept-language",
          "cache-control",
          "content-encoding",
          "content-language",
          "content-type",
          "cookie",
          "idempotency-key",
          "if-match",
          "if-modified-since",
          "if-none-match",
          "if-range",
          "if-unmodified-since",
          "origin",
          "pragma",
          "prefer",
          "range",
          "traceparent",
          "tracestate",
          "user-agent",
          "x-correlation-id",
          "x-requested-with");

  private static final Set<String> DROPPED_RESPONSE_HEADERS =
      Set.of(
          "connection",
          "content-length",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private static final String INTERNAL_PREFIX = "toucanrack-";
  private static final char DELETE = 0x7f;

  private HeaderRules() {}

  /** Returns the headers of a caller's request to forward to a backend server. */
  public static List<HeaderField> forBackend(List<HeaderField> received) {
    Set<String> hopByHop = connectionOptions(received);
    List<HeaderField> passed = new ArrayList<>();
    for (HeaderField field : received) {
      String name = lowerCaseName(field);
      if (ALLOWED_REQUEST_HEADERS.contains(name) && !hopByHop.contains(name)) {
        passed.add(field);
      }
    }
    return passed;
  }

  /** Returns the headers of a backend server's response to forward to the caller. */
  public static List<HeaderField> forCaller(List<HeaderField> received) {
    Set<String> hopByHop = connectionOptions(received);
    List<HeaderField> passed = new ArrayList<>();
    for (HeaderField field : received) {
      String name = lowerCaseName(field);
      if (!DROPPED_RESPONSE_HEADERS.contains(name)
          && !hopByHop.contains(name)
          && !name.startsWith(INTERNAL_PREFIX)
          && !describesDecodedGzip(field)
          && hasNoControlCharacter(field.getValue())) {
        passed.add(field);
      }
    }
    return passed;
  }

  /** ActiveJ's client decodes gzip bodies, so the header no longer describes the body. */
  private static boolean describesDecodedGzip(HeaderField field) {
    return lowerCaseName(field).equals("content-encoding")
        && field.getValue().strip().equals("gzip");
  }

  private static Set<String> connectionOptions(List<HeaderField> fields) {
    Set<String> names = new HashSet<>();
    for (HeaderField field : fields) {
      if (lowerCaseName(field).equals("connection")) {
        for (String name : field.getValue().split(",")) {
          names.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    return names;
  }

  private static boolean hasNoControlCharacter(String value) {
    return value.chars().noneMatch(c -> (c < ' ' && c != '\t') || c == DELETE);
  }

  private static String lowerCaseName(HeaderField field) {
    return field.getName().toLowerCase(Locale.ROOT);
  }
}
