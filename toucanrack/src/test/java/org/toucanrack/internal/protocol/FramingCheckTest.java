package org.toucanrack.internal.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against request smuggling: every ambiguous request is rejected before it is parsed. */
class FramingCheckTest {

  private static final String VALID = "GET /a HTTP/1.1\r\nHost: t\r\n\r\n";
  private static final String CHUNKED =
      "POST /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          LENGTH_AND_TRANSFER_ENCODING | Content-Length: 3~Transfer-Encoding: chunked~
          LENGTH_AND_TRANSFER_ENCODING | Transfer-Encoding: chunked~content-length: 3~
          BAD_LENGTH                   | Content-Length: 3~Content-Length: 3~
          BAD_LENGTH                   | Content-Length: +3~
          BAD_LENGTH                   | Content-Length: 3, 3~
          BAD_TRANSFER_ENCODING        | Transfer-Encoding: xchunked~
          BAD_TRANSFER_ENCODING        | Transfer-Encoding: gzip, chunked~
          BAD_TRANSFER_ENCODING        | Transfer-Encoding: chunked~Transfer-Encoding: chunked~
          BAD_HEADER                   | Content-Length : 3~
          BAD_HEADER                   | X-A: b~ folded~
          BAD_HEADER                   | no colon~
          TWO_KEYS                     | X-Api-Key: a~Authorization: Bearer b~
          TWO_KEYS                     | X-Api-Key: a~x-api-key: a~
          BAD_HOST                     | Host: other~
          UNSUPPORTED_UPGRADE          | Upgrade: websocket~
          BARE_LINE_END                | X-A: b^X-B: c~
          """)
  void rejectsAmbiguousHeaders(FramingViolation expected, String headers) {
    String lines = headers.replace("~", "\r\n").replace('^', '\n');

    assertEquals(
        Optional.of(expected), violationOf("POST /a HTTP/1.1\r\nHost: t\r\n" + lines + "\r\n"));
  }

  @ParameterizedTest
  @CsvSource({
    "/a%",
    "/a%4",
    "/a%zz",
    "/a/../b",
    "/a/%2e%2E/b",
    "/a/..;x/b",
    "/a%2fb",
    "/a//b",
    "/a#b",
    "*",
    "http://x/",
    "/a%00"
  })
  void rejectsAmbiguousTargets(String target) {
    assertEquals(
        Optional.of(FramingViolation.BAD_TARGET),
        violationOf("GET " + target + " HTTP/1.1\r\nHost: t\r\n\r\n"));
  }

  @Test
  void rejectsHeadersOver16Kib() {
    String line = "X-A: " + "b".repeat(16 * 1024) + "\r\n";

    assertEquals(
        Optional.of(FramingViolation.HEADERS_TOO_LARGE),
        violationOf("GET /a HTTP/1.1\r\nHost: t\r\n" + line + "\r\n"));
  }

  @Test
  void rejectsMalformedChunks() {
    String head = "POST /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n";

    for (String body : List.of("g\r\n", "3;x\r\nabc", "3\nabc", "3\r\nabcd", "0\r\nX: y\r\n")) {
      assertEquals(Optional.of(FramingViolation.BAD_CHUNK), violationOf(head + body), body);
    }
  }

  @Test
  void checksPipelinedRequestsAndPassesOnlyTheValidOnes() {
    FramingCheck check = new FramingCheck();
    byte[] bytes = bytes(CHUNKED + VALID + "GET /a HTTP/1.1\nHost: t\n\n");

    int passableEnd = check.feed(bytes, 0, bytes.length);

    assertEquals(CHUNKED.length() + VALID.length(), passableEnd);
    assertEquals(2, check.headCount());
    assertEquals(Optional.of(FramingViolation.BARE_LINE_END), check.violation());
  }

  @Property(tries = 300)
  void findsTheSameRequestsForEverySplitOfTheBytes(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 3) Integer> kinds,
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 90) Integer> pieceSizes) {
    StringBuilder all = new StringBuilder();
    kinds.forEach(kind -> all.append(request(kind)));
    byte[] bytes = bytes(all.toString());

    FramingCheck whole = new FramingCheck();
    final int passableEnd = whole.feed(bytes, 0, bytes.length);
    FramingCheck pieces = new FramingCheck();
    feedInPieces(pieces, bytes, pieceSizes);

    assertEquals(whole.violation(), pieces.violation());
    assertEquals(whole.headCount(), pieces.headCount());
    assertEquals(kinds.contains(3), whole.violation().isPresent());
    assertEquals(kinds.contains(3), passableEnd < bytes.length);
  }

  static void feedInPieces(FramingCheck check, byte[] bytes, List<Integer> pieceSizes) {
    int from = 0;
    for (int pieceSize : new ArrayList<>(pieceSizes)) {
      int to = Math.min(bytes.length, from + pieceSize);
      check.feed(bytes, from, to);
      from = to;
    }
    check.feed(bytes, from, bytes.length);
  }

  private static String request(int kind) {
    return switch (kind) {
      case 0 -> VALID;
      case 1 -> CHUNKED;
      case 2 -> "PUT /a HTTP/1.1\r\nHost: t\r\nContent-Length: 29\r\n\r\n" + VALID + "x";
      default -> "GET /a HTTP/1.1\r\nHost : t\r\n\r\n";
    };
  }

  private static Optional<FramingViolation> violationOf(String text) {
    FramingCheck check = new FramingCheck();
    byte[] bytes = bytes(text);
    check.feed(bytes, 0, bytes.length);
    return check.violation();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
