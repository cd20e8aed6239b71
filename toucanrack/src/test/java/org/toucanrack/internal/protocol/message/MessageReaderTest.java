package org.toucanrack.internal.protocol.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanrack.internal.protocol.message.MessageReader.Kind;

class MessageReaderTest {

  private static final String CHUNKED =
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\n";

  // Guards against results that depend on how the network splits the bytes.
  @Property(tries = 100)
  void readsTheSameMessageForEverySplitOfTheBytes(
      @ForAll @IntRange(min = 1, max = 40) int pieceBytes) throws MalformedMessage {
    MessageReader reader = reader(Kind.REQUEST);
    byte[] bytes = (CHUNKED + CHUNKED).getBytes(StandardCharsets.ISO_8859_1);
    int messages = 0;

    for (int start = 0; start < bytes.length; start += pieceBytes) {
      reader.feed(bytes, start, Math.min(pieceBytes, bytes.length - start));
      for (Optional<HttpMessage> next = reader.poll(); next.isPresent(); next = reader.poll()) {
        messages++;
        assertEquals("hello world", new String(next.get().body(), StandardCharsets.ISO_8859_1));
        assertEquals("/a/b?x=1", next.get().target());
      }
    }

    assertEquals(2, messages);
  }

  // Guards against a discarded body that is kept in memory, or taken for the next request.
  @Property(tries = 60)
  void discardedBodiesAreSkipped(@ForAll @IntRange(min = 1, max = 40) int pieceBytes)
      throws MalformedMessage {
    String withLength =
        "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + "y".repeat(50);
    for (String first : new String[] {CHUNKED, withLength}) {
      MessageReader reader = reader(Kind.REQUEST);
      byte[] bytes = (first + CHUNKED).getBytes(StandardCharsets.ISO_8859_1);
      int headEnd = first.indexOf("\r\n\r\n") + 4;
      reader.feed(bytes, 0, headEnd);
      assertTrue(reader.poll().isEmpty());
      reader.discardBody();
      List<Integer> bodyLengths = new ArrayList<>();

      for (int start = headEnd; start < bytes.length; start += pieceBytes) {
        reader.feed(bytes, start, Math.min(pieceBytes, bytes.length - start));
        for (Optional<HttpMessage> next = reader.poll(); next.isPresent(); next = reader.poll()) {
          bodyLengths.add(next.get().body().length);
        }
      }

      assertEquals(List.of(0, "hello world".length()), bodyLengths);
    }
  }

  // Guards against kept connections that go on holding a buffer as large as their last message.
  @ParameterizedTest
  @ValueSource(ints = {1, 1000, 5000, 16_384, 900_000})
  void readersHoldNoMemoryBetweenMessages(int pieceBytes) throws MalformedMessage {
    String withLength = "POST /c HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + "y".repeat(300_000);
    String chunked =
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + ("186a0\r\n" + "z".repeat(100_000) + "\r\n").repeat(3)
            + "0\r\n\r\n";
    for (String message : List.of(withLength, chunked, "GET /d HTTP/1.1\r\nHost: h\r\n\r\n")) {
      MessageReader reader = new MessageReader(Kind.REQUEST, 1000, 1_000_000);

      assertEquals(1, read(reader, message, pieceBytes));

      assertEquals(0, reader.allocatedBytes());
    }
  }

  // Guards against a large buffer that is kept for the first bytes of a request behind a body.
  @Test
  void fewBytesBehindBodyDoNotKeepItsBuffer() throws MalformedMessage {
    MessageReader reader = new MessageReader(Kind.REQUEST, 1000, 1_000_000);
    String body = "y".repeat(300_000);

    int messages =
        read(
            reader,
            "POST /c HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + body + "GET /d HTTP",
            900_000);

    assertEquals(1, messages);
    assertTrue(reader.allocatedBytes() <= 4096, reader.allocatedBytes() + " bytes");
    assertEquals(1, read(reader, "/1.1\r\nHost: h\r\n\r\n", 900_000));
  }

  private static int read(MessageReader reader, String text, int pieceBytes)
      throws MalformedMessage {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    int messages = 0;
    for (int start = 0; start < bytes.length; start += pieceBytes) {
      reader.feed(bytes, start, Math.min(pieceBytes, bytes.length - start));
      while (reader.poll().isPresent()) {
        messages++;
      }
    }
    return messages;
  }

  // Guards against request smuggling, where two parsers disagree about the end of a request.
  @Test
  void rejectsAnAmbiguousLength() {
    assertMalformed("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc");
    assertMalformed("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n");
    assertMalformed("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc");
    assertMalformed("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    assertMalformed("POST / HTTP/1.1\r\nHost : h\r\n\r\n");
  }

  // Guards against forwarding a response that is incomplete since its connection broke.
  @Test
  void completesAnUnframedResponseOnlyAtTheOrderlyEndOfTheConnection() throws MalformedMessage {
    MessageReader reader = reader(Kind.RESPONSE);
    feed(reader, "HTTP/1.1 200 OK\r\n\r\npart");

    assertTrue(reader.poll().isEmpty());

    HttpMessage message = reader.pollAtEnd().orElseThrow();
    assertArrayEquals("part".getBytes(StandardCharsets.ISO_8859_1), message.body());
    assertTrue(message.closesConnection());
  }

  // Guards against treating a truncated response as complete when the connection ends.
  @Test
  void doesNotCompleteShortBodyAtTheEndOfTheConnection() throws MalformedMessage {
    MessageReader reader = reader(Kind.RESPONSE);
    feed(reader, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");

    assertTrue(reader.poll().isEmpty());
    assertTrue(reader.pollAtEnd().isEmpty());
  }

  // Guards against callers that get an answer whose status has no meaning, from a server in
  // trouble.
  // The bytes of digits of other scripts are no digits in a head.
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "0200", "600", "999", "20O", "2", "", "-20", "2٠٠"})
  void rejectsResponsesWithoutValidStatus(String status) {
    MessageReader reader = reader(Kind.RESPONSE);
    byte[] bytes =
        ("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.UTF_8);
    reader.feed(bytes, 0, bytes.length);

    assertThrows(MalformedMessage.class, reader::poll);
  }

  // Guards against reading surplus bytes after a response as part of the next one.
  @Test
  void reportsBytesAfterTheMessage() throws MalformedMessage {
    MessageReader reader = reader(Kind.RESPONSE);
    feed(reader, "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 2");

    assertEquals(204, reader.poll().orElseThrow().status());
    assertTrue(reader.hasBufferedBytes());
  }

  // Guards against a caller that exhausts the memory of a VM.
  @Test
  void rejectsMessagesOverItsLimits() {
    MessageReader reader = new MessageReader(Kind.REQUEST, 64, 8);
    feed(reader, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    assertEquals(413, assertThrows(MalformedMessage.class, reader::poll).status());

    MessageReader longHead = new MessageReader(Kind.REQUEST, 64, 8);
    feed(longHead, "GET / HTTP/1.1\r\nX: " + "a".repeat(64));
    assertEquals(431, assertThrows(MalformedMessage.class, longHead::poll).status());
  }

  // Guards against a server that sends trailer fields without end.
  @Test
  void rejectsTrailersWithoutEnd() throws MalformedMessage {
    MessageReader reader = reader(Kind.RESPONSE);
    feed(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    for (int i = 0; i < 1000; i++) {
      assertTrue(reader.poll().isEmpty());
      feed(reader, "X: 3456789ABCDEF\r\n");
    }
    feed(reader, "X: 3456789ABCDEF\r\n".repeat(100));

    assertThrows(MalformedMessage.class, reader::poll);
  }

  // Guards against missing the end of a head that arrives in several parts.
  @Test
  void findsTheEndOfHeadsReceivedByteByByte() throws MalformedMessage {
    MessageReader reader = reader(Kind.REQUEST);
    String head = "\r\nGET / HTTP/1.1\r\nX: y\r\n\r\n";
    for (char next : head.substring(0, head.length() - 1).toCharArray()) {
      feed(reader, String.valueOf(next));
      assertTrue(reader.poll().isEmpty());
    }
    feed(reader, "\n");

    assertTrue(reader.poll().isPresent());
  }

  private static void assertMalformed(String bytes) {
    MessageReader reader = reader(Kind.REQUEST);
    feed(reader, bytes);
    assertEquals(400, assertThrows(MalformedMessage.class, reader::poll).status());
  }

  private static MessageReader reader(Kind kind) {
    return new MessageReader(kind, 16 * 1024, 1024 * 1024);
  }

  private static void feed(MessageReader reader, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    reader.feed(bytes, 0, bytes.length);
  }
}
