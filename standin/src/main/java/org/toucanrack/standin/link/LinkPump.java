package org.toucanrack.standin.link;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Relays the bytes of one connection in one direction. Confined to the event loop.
 *
 * <p>While the direction is cut, bytes are queued and not dropped, because TCP would retransmit
 * them after a partition. Reading stops while more than {@link #MAX_QUEUED_BYTES} are queued.
 */
final class LinkPump {

  private static final int MAX_QUEUED_BYTES = 1 << 20;

  private record Chunk(ByteBuf bytes, long arrivalMillis) {}

  private final NioReactor reactor;
  private final LinkDirection direction;
  private final ITcpSocket source;
  private final ITcpSocket target;
  private final Runnable closeConnection;
  private final Deque<Chunk> queue = new ArrayDeque<>();
  private int queuedBytes;
  private boolean readPending;
  private boolean deliveryPending;
  private boolean endOfStream;

  LinkPump(
      NioReactor reactor,
      LinkDirection direction,
      ITcpSocket source,
      ITcpSocket target,
      Runnable closeConnection) {
    this.reactor = reactor;
    this.direction = direction;
    this.source = source;
    this.target = target;
    this.closeConnection = closeConnection;
  }

  void read() {
    if (readPending || endOfStream || queuedBytes > MAX_QUEUED_BYTES) {
      return;
    }
    readPending = true;
    source
        .read()
        .whenResult(
            bytes -> {
              readPending = false;
              enqueue(bytes);
            })
        .whenException(e -> closeConnection.run());
  }

  private void enqueue(ByteBuf bytes) {
    int lengthBytes = bytes == null ? 0 : bytes.readRemaining();
    long nowMillis = reactor.currentTimeMillis();
    queue.add(new Chunk(bytes, direction.reserveTransfer(lengthBytes, nowMillis)));
    queuedBytes += lengthBytes;
    endOfStream = bytes == null;
    scheduleDelivery();
    read();
  }

  private void scheduleDelivery() {
    if (deliveryPending || queue.isEmpty()) {
      return;
    }
    deliveryPending = true;
    long remainingMillis = queue.peek().arrivalMillis() - reactor.currentTimeMillis();
    if (remainingMillis > 0) {
      reactor.delay(remainingMillis, this::deliver);
    } else {
      deliver();
    }
  }

  private void deliver() {
    if (direction.isCut()) {
      direction.whenHealed(this::deliver);
      return;
    }
    Chunk chunk = queue.poll();
    if (target.isClosed()) {
      closeConnection.run();
      return;
    }
    int lengthBytes = chunk.bytes() == null ? 0 : chunk.bytes().readRemaining();
    target
        .write(chunk.bytes())
        .whenResult(
            () -> {
              deliveryPending = false;
              queuedBytes -= lengthBytes;
              // Posted, because reads and writes that complete immediately would recurse without
              // bound.
              reactor.post(this::scheduleDelivery);
              reactor.post(this::read);
            })
        .whenException(e -> closeConnection.run());
  }
}
