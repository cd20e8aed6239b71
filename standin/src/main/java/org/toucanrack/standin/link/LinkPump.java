package org.toucanrack.standin.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Moves bytes of one connection in one direction. Confined to the event loop.
 *
 * <p>While the direction is cut, bytes are held and not lost, as TCP would send them again after a
 * partition.
 */
final class LinkPump {

  private static final int MAX_QUEUED_BYTES = 1 << 20;

  private record Piece(ByteBuf bytes, long arrivalMillis) {}

  private final NioReactor reactor;
  private final LinkDirection direction;
  private final ITcpSocket source;
  private final ITcpSocket target;
  private final Runnable close;
  private final Deque<Piece> queue = new ArrayDeque<>();
  private int queuedBytes;
  private boolean reading;
  private boolean writing;
  private boolean ended;

  LinkPump(
      NioReactor reactor,
      LinkDirection direction,
      ITcpSocket source,
      ITcpSocket target,
      Runnable close) {
    this.reactor = reactor;
    this.direction = direction;
    this.source = source;
    this.target = target;
    this.close = close;
  }

  void read() {
    if (reading || ended || queuedBytes > MAX_QUEUED_BYTES) {
      return;
    }
    reading = true;
    source
        .read()
        .whenResult(
            bytes -> {
              reading = false;
              accept(bytes);
            })
        .whenException(e -> close.run());
  }

  private void accept(ByteBuf bytes) {
    int length = bytes == null ? 0 : bytes.readRemaining();
    long now = reactor.currentTimeMillis();
    queue.add(new Piece(bytes, direction.arrivalMillis(length, now)));
    queuedBytes += length;
    ended = bytes == null;
    write();
    read();
  }

  private void write() {
    if (writing || queue.isEmpty()) {
      return;
    }
    writing = true;
    long wait = queue.peek().arrivalMillis() - reactor.currentTimeMillis();
    if (wait > 0) {
      reactor.delay(wait, this::deliver);
    } else {
      deliver();
    }
  }

  private void deliver() {
    if (direction.isCut()) {
      direction.whenHealed(this::deliver);
      return;
    }
    Piece piece = queue.poll();
    if (target.isClosed()) {
      close.run();
      return;
    }
    int length = piece.bytes() == null ? 0 : piece.bytes().readRemaining();
    target
        .write(piece.bytes())
        .whenResult(
            () -> {
              writing = false;
              queuedBytes -= length;
              // Posted, since reads and writes that complete at once would nest without bound.
              reactor.post(this::write);
              reactor.post(this::read);
            })
        .whenException(e -> close.run());
  }
}
