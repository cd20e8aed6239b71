package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.protocol.message.EncodedMessage;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;
import org.toucanrack.internal.transport.relay.ConnectionPool.Call;
import org.toucanrack.internal.transport.relay.ConnectionPool.CorrelationHeader;
import org.toucanrack.internal.transport.relay.ResponseListener.CallFailure;

/**
 * One pooled connection to a server.
 *
 * <p>It is also read while idle, to detect a close by the server and to close the connection if it
 * receives bytes that belong to no request. Confined to one event loop.
 */
final class PooledConnection {

  private static final int FIRST_FINAL_STATUS = 200;

  /**
   * Maximum number of interim and mismatched responses that are skipped before the expected one.
   */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  private final ConnectionPool pool;
  private final InetSocketAddress address;
  private final TcpSocket socket;
  private final TransferCounter counter;
  private final MessageReader reader;
  private Call current;
  private CorrelationHeader correlation;
  private final MessageWriter writer;
  private boolean writingParts;
  private int skippedResponses;
  private boolean mismatchedResponse;
  private long bufferedBytes;
  private boolean closed;
  private long usableUntilMillis;

  PooledConnection(
      ConnectionPool pool,
      InetSocketAddress address,
      TcpSocket socket,
      TransferCounter counter,
      int maxHeadBytes,
      long maxBodyBytes) {
    this.pool = pool;
    this.address = address;
    this.socket = socket;
    this.writer = new MessageWriter(socket);
    this.counter = counter;
    this.reader = new MessageReader(MessageReader.Kind.RESPONSE, maxHeadBytes, maxBodyBytes);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the memory in bytes that is held for received bytes. */
  long receivedBytes() {
    return reader.allocatedBytes();
  }

  void start() {
    readNext();
  }

  boolean isUsable(long nowMillis) {
    return !closed && !reader.hasBufferedBytes() && nowMillis < usableUntilMillis;
  }

  void setUsableUntilMillis(long millis) {
    usableUntilMillis = millis;
  }

  void send(EncodedMessage request, CorrelationHeader expectedCorrelation, Call call) {
    current = call;
    correlation = expectedCorrelation;
    skippedResponses = 0;
    counter.sent(request.length());
    writer.start(List.of(request));
    writeParts();
  }

  /** Parts that are written at once continue this loop, so that large bodies need no deep stack. */
  private void writeParts() {
    if (writingParts) {
      return;
    }
    writingParts = true;
    while (!closed && writer.hasMore() && !writer.isWriting()) {
      writer.writePart(ConnectionPool.nowMillis(), this::onPartWritten);
    }
    writingParts = false;
  }

  private void onPartWritten(Exception failure) {
    if (failure != null) {
      abort("write: " + failure.getMessage());
    } else {
      writeParts();
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      updateBufferedBytes(0);
      pool.remove(this);
      socket.close();
    }
  }

  private void readNext() {
    if (!closed) {
      socket.read().subscribe(this::onRead);
    }
  }

  private void onRead(ByteBuf bytes, Exception failure) {
    if (closed) {
      if (bytes != null) {
        bytes.recycle();
      }
      return;
    }
    if (failure != null) {
      abort("read: " + failure.getMessage());
      return;
    }
    if (bytes == null) {
      onEndOfStream();
      return;
    }
    counter.received(bytes.readRemaining());
    reader.feed(bytes.array(), bytes.head(), bytes.readRemaining());
    bytes.recycle();
    if (current == null) {
      abort("bytes without a request");
      return;
    }
    readResponses();
    if (!closed && !updateBufferedBytes(reader.allocatedBytes())) {
      abort("answer: the memory for unfinished answers is used up");
    }
    readNext();
  }

  private boolean updateBufferedBytes(long bytes) {
    boolean allowed = pool.bufferBudget().update(bufferedBytes, bytes);
    bufferedBytes = bytes;
    return allowed;
  }

  private void readResponses() {
    try {
      while (current != null && !closed) {
        Optional<HttpMessage> response = reader.poll();
        if (response.isEmpty()) {
          return;
        }
        handleResponse(response.get());
      }
    } catch (MalformedMessage e) {
      abort("answer: " + e.getMessage());
    }
  }

  private void onEndOfStream() {
    reader.pollAtEnd().ifPresent(this::handleResponse);
    abort("the server closed the connection");
  }

  /** Completes the call, unless the response is interim or belongs to another request. */
  private void handleResponse(HttpMessage response) {
    boolean interim = response.status() < FIRST_FINAL_STATUS;
    boolean mismatched =
        !interim
            && correlation != null
            && !correlation.value().equals(response.field(correlation.name()).orElse(null));
    if (interim || mismatched) {
      mismatchedResponse |= mismatched;
      if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
        abort("answer: too many answers to other requests");
      }
      return;
    }
    Call call = current;
    current = null;
    boolean reusable =
        !writer.isWriting()
            && !writer.hasMore()
            && !mismatchedResponse
            && !reader.hasBufferedBytes()
            && !response.closesConnection();
    if (reusable) {
      KeepAliveHeader.timeoutMillis(response)
          .ifPresentOrElse(millis -> pool.release(this, millis), () -> pool.release(this));
    } else {
      close();
    }
    call.complete(response);
  }

  private void abort(String reason) {
    close();
    Call call = current;
    current = null;
    if (call != null) {
      call.fail(CallFailure.NO_ANSWER, reason);
    }
  }
}
