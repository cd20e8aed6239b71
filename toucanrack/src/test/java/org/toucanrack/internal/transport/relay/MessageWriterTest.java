package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.message.EncodedMessage;

class MessageWriterTest {

  private final PausingSocket socket = new PausingSocket();
  private final MessageWriter writer = new MessageWriter(socket);

  // Guards against parts that are lost, repeated or reordered where heads and bodies meet.
  @Property(tries = 200)
  void partsTogetherAreTheMessages(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 0, max = 200_000) Integer> bodyLengths) {
    PausingSocket target = new PausingSocket();
    MessageWriter partWriter = new MessageWriter(target);
    List<EncodedMessage> messages = new ArrayList<>();
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    for (int length : bodyLengths) {
      EncodedMessage message = message(length);
      messages.add(message);
      expected.writeBytes(message.head());
      expected.writeBytes(message.body());
    }

    partWriter.start(messages);
    while (partWriter.hasMore()) {
      partWriter.writePart(0, failure -> {});
      target.accept();
    }

    assertTrue(Arrays.equals(expected.toByteArray(), target.written.toByteArray()));
    assertEquals(0, partWriter.heldBytes());
  }

  // Guards against a body that is copied for each server or caller that it is sent to.
  @Test
  void largeBodiesAreHeldOnce() {
    EncodedMessage message = message(1_000_000);

    writer.start(List.of(message));
    writer.writePart(0, failure -> {});
    socket.accept();
    writer.writePart(0, failure -> {});

    long expected = message.length() + MessageWriter.MAX_PART_BYTES;
    assertTrue(writer.heldBytes() <= expected, writer.heldBytes() + " bytes");
    assertTrue(writer.isWriting());
    assertTrue(writer.hasMore());
  }

  // Guards against memory that is released before the socket has written the bytes.
  @Test
  void theLastPartIsHeldUntilItIsWritten() {
    writer.start(List.of(message(10)));
    writer.writePart(0, failure -> {});

    assertFalse(writer.hasMore());
    assertTrue(writer.heldBytes() > 0);
    socket.accept();
    assertEquals(0, writer.heldBytes());
  }

  private static EncodedMessage message(int bodyLength) {
    byte[] body = new byte[bodyLength];
    for (int i = 0; i < bodyLength; i++) {
      body[i] = (byte) (i % 251);
    }
    byte[] head =
        ("HTTP/1.1 200 OK\r\nContent-Length: " + bodyLength + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    return new EncodedMessage(head, body);
  }

  /** A socket that accepts each write only when the test says so. */
  private static final class PausingSocket implements ITcpSocket {

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private SettablePromise<Void> pending;
    private ByteBuf part;

    PausingSocket() {
      Eventloop.builder().withCurrentThread().build();
    }

    void accept() {
      written.write(part.array(), part.head(), part.readRemaining());
      SettablePromise<Void> accepted = pending;
      pending = null;
      accepted.set(null);
    }

    @Override
    public Promise<Void> write(ByteBuf bytes) {
      part = bytes;
      pending = new SettablePromise<>();
      return pending;
    }

    @Override
    public Promise<ByteBuf> read() {
      return new SettablePromise<>();
    }

    @Override
    public boolean isReadAvailable() {
      return false;
    }

    @Override
    public void closeEx(Exception e) {
      pending = null;
    }

    @Override
    public boolean isClosed() {
      return false;
    }
  }
}
