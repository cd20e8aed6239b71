package org.toucanrack.internal.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.generated.HeaderField;

/** Guards against forwarding keys and hop-by-hop headers with a request or response. */
class HeaderRulesTest {

  @Test
  void passesOnlyAllowedRequestHeaders() {
    List<HeaderField> passed =
        HeaderRules.forBackend(
            List.of(
                field("Accept", "text/html"),
                field("Authorization", "Bearer secret"),
                field("X-Api-Key", "secret"),
                field("X-Secret-Key", "secret"),
                field("Prefer", "wait"),
                field("Connection", "close, Prefer"),
                field("Toucanrack-Customer", "other")));

    assertEquals(List.of(field("Accept", "text/html")), passed);
  }

  @Test
  void dropsHopByHopAndForgedResponseHeaders() {
    List<HeaderField> passed =
        HeaderRules.forCaller(
            List.of(
                field("ETag", "1"),
                field("Toucanrack-Verdict", "not-run"),
                field("Transfer-Encoding", "chunked"),
                field("X-Hop", "1"),
                field("X-Split", "a\r\nX: b"),
                field("connection", "x-hop")));

    assertEquals(List.of(field("ETag", "1")), passed);
  }

  @Test
  void findsKeyNamesInQueryAndCookiesInAnyCaseAndEncoding() {
    assertTrue(KeyNames.inQuery("/a?b=1&API_key=x"));
    assertTrue(KeyNames.inQuery("/a?%6bey=x"));
    assertTrue(KeyNames.inQuery("/a?access_token"));
    assertTrue(KeyNames.inCookies("a=b; ApiKey=x"));
    assertFalse(KeyNames.inQuery("/key=1?keyboard=qwerty"));
    assertFalse(KeyNames.inCookies("monkey=1"));
  }

  @Test
  void treatsResponseEndedByCloseOrBeforeItsFinalStatusAsIncomplete() {
    assertFalse(ResponseFraming.isComplete(200, List.of()));
    assertFalse(ResponseFraming.isComplete(100, List.of(field("Content-Length", "0"))));
    assertFalse(
        ResponseFraming.isComplete(
            200, List.of(field("Content-Length", "1"), field("Content-Length", "2"))));
    assertTrue(ResponseFraming.isComplete(204, List.of()));
    assertTrue(ResponseFraming.isComplete(200, List.of(field("content-length", "1"))));
  }

  private static HeaderField field(String name, String value) {
    return HeaderField.newBuilder().setName(name).setValue(value).build();
  }
}
