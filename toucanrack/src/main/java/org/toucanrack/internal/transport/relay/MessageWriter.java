package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.toucanrack.internal.protocol.message.EncodedMessage;

/**
 * Writes messages to one connection in parts, so that a receiver that has stopped reading is told
 * apart from one that reads slowly. Large bodies are written without a copy of the whole.
 *
 * <p>Invariant: at most one part is being written, so the socket buffers no more than that.
 * Confined to one event loop.
 */
final class MessageWriter {

  static final int MAX_PART_BYTES = 64 * 1024;

  private final ITcpSocket socket;
  private final Deque<byte[]> segments = new ArrayDeque<>();

  /** Bytes of the first segment that were written or are being written. */
  private int position;

  private long remainingBytes;
  private long heldBytes;

  /** Memory of the part that is being written, unless its segment is still in the queue. */
  private long partBytes;

  private boolean writing;
  private long partStartedMillis;

  MessageWriter(ITcpSocket socket) {
    this.socket = socket;
  }

  boolean isWriting() {
    return writing;
  }

  /** Returns whether a part of the messages was not passed to the socket yet. */
  boolean hasMore() {
    return remainingBytes > 0;
  }

  /** Returns the memory in bytes that is held for messages that were not written completely. */
  long heldBytes() {
    return heldBytes + partBytes;
  }

  /** Adds messages, after all of the previous ones were passed to the socket. */
  void start(List<EncodedMessage> messages) {
    for (EncodedMessage message : messages) {
      addSegment(message.head());
      if (message.body().length > 0) {
        addSegment(message.body());
      }
    }
  }

  private void addSegment(byte[] segment) {
    segments.addLast(segment);
    remainingBytes += segment.length;
    heldBytes += segment.length;
  }

  /** Writes the next part; {@code onWritten} gets the failure, or null. */
  void writePart(long nowMillis, Consumer<Exception> onWritten) {
    final ByteBuf part = takePart();
    writing = true;
    partStartedMillis = nowMillis;
    socket
        .write(part)
        .subscribe(
            (ok, failure) -> {
              writing = false;
              partBytes = 0;
              onWritten.accept(failure);
            });
  }

  /** Takes up to {@link #MAX_PART_BYTES}; bytes of several segments are copied into one array. */
  private ByteBuf takePart() {
    int length = (int) Math.min(MAX_PART_BYTES, remainingBytes);
    byte[] first = segments.getFirst();
    if (first.length - position >= length) {
      final ByteBuf part = ByteBuf.wrap(first, position, position + length);
      take(length);
      partBytes = segments.peekFirst() == first ? 0 : first.length;
      return part;
    }
    byte[] joined = new byte[length];
    for (int filled = 0; filled < length; ) {
      byte[] segment = segments.getFirst();
      int taken = Math.min(length - filled, segment.length - position);
      System.arraycopy(segment, position, joined, filled, taken);
      filled += taken;
      take(taken);
    }
    partBytes = length;
    return ByteBuf.wrap(joined, 0, length);
  }

  private void take(int bytes) {
    position += bytes;
    remainingBytes -= bytes;
    if (position == segments.getFirst().length) {
      heldBytes -= segments.removeFirst().length;
      position = 0;
    }
  }

  /** Ends the output; the receiver reads the end of the connection after the last message. */
  void end(Consumer<Exception> onWritten) {
    socket.write(null).subscribe((ok, failure) -> onWritten.accept(failure));
  }

  /** Returns for how long the receiver has not accepted the current part; 0 if there is none. */
  long stalledMillis(long nowMillis) {
    return writing ? nowMillis - partStartedMillis : 0;
  }
}
