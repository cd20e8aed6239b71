package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;

/**
 * One accepted connection of a caller.
 *
 * <p>Invariant: requests are handled one at a time, and each is answered before the next one is
 * handled. The connection is read while a request runs, to detect a caller that disconnects, until
 * a limited number of bytes wait behind it. A request whose body does not fit into the memory for
 * bodies is refused before it is handled. Confined to one event loop.
 */
final class ServerConnection {

  private static final HttpField CONNECTION_CLOSE = new HttpField("Connection", "close");

  /** Bytes that may wait behind a request that has no answer yet. */
  private static final long MAX_READ_AHEAD_BYTES = 64 * 1024;

  /** Callers retry a request after this time if its body did not fit into memory. */
  private static final int BODY_RETRY_AFTER_SECONDS = 1;

  private static final int UNAVAILABLE = 503;

  private final HttpListener listener;
  private final ITcpSocket socket;
  private final MessageReader reader;
  private ActiveExchange current;

  /** Start of the wait for the rest of a request or for the next request. */
  private long waitingSinceMillis;

  private boolean closeAfterResponse;
  private boolean inputEnded;
  private boolean readingPaused;
  private boolean serving;
  private boolean closed;

  /** Bytes reserved for the body of the request that is being read or handled. */
  private long reservedBytes;

  /** Whether the request that is being read was refused, so that its body is discarded. */
  private boolean discarding;

  private boolean refusalWritten;
  private boolean bodyDiscarded;

  ServerConnection(HttpListener listener, ITcpSocket socket, long nowMillis) {
    this.listener = listener;
    this.socket = socket;
    this.waitingSinceMillis = nowMillis;
    ListenerLimits limits = listener.limits();
    reader =
        new MessageReader(MessageReader.Kind.REQUEST, limits.maxHeadBytes(), limits.maxBodyBytes());
  }

  void start() {
    readNext();
  }

  /** Returns whether no request is being received or handled. */
  boolean isIdle() {
    return current == null && !reader.hasBufferedBytes();
  }

  /**
   * Rejects a request that arrives too slowly, and closes a connection that is idle for too long.
   */
  void enforceLimits(long nowMillis) {
    if (current != null || closed) {
      return;
    }
    long waitedMillis = nowMillis - waitingSinceMillis;
    if (discarding && waitedMillis > listener.limits().requestTimeout().toMillis()) {
      close();
      return;
    }
    if (reader.hasBufferedBytes() && waitedMillis > listener.limits().requestTimeout().toMillis()) {
      reject(408, "the request did not arrive in time");
    } else if (!reader.hasBufferedBytes()
        && waitedMillis > listener.limits().idleTimeout().toMillis()) {
      close();
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      listener.remove(this);
      releaseBody();
      socket.close();
      notifyAbandoned();
    }
  }

  private void readNext() {
    if (closed || inputEnded) {
      return;
    }
    socket.read().subscribe(this::onRead);
  }

  private void onRead(ByteBuf bytes, Exception failure) {
    if (closed) {
      if (bytes != null) {
        bytes.recycle();
      }
      return;
    }
    if (failure != null || bytes == null) {
      inputEnded = true;
      close();
      return;
    }
    if (!reader.hasBufferedBytes()) {
      waitingSinceMillis = listener.nowMillis();
    }
    reader.feed(bytes.array(), bytes.head(), bytes.readRemaining());
    bytes.recycle();
    serveNext();
    if (mayReadAhead()) {
      readNext();
    }
  }

  /** Bounds the bytes that are buffered behind a request that has no answer yet. */
  private boolean mayReadAhead() {
    readingPaused = current != null && !discarding && reader.bufferedBytes() > MAX_READ_AHEAD_BYTES;
    return !readingPaused;
  }

  private void resumeReading() {
    if (readingPaused) {
      readingPaused = false;
      readNext();
    }
  }

  /**
   * Handles the requests that have been read, one after the other. Answers that are written at once
   * continue this loop instead of calling it again, so that many small requests need no deep stack.
   */
  private void serveNext() {
    if (serving) {
      return;
    }
    serving = true;
    try {
      boolean served = true;
      while (served) {
        served = serveOne();
      }
    } finally {
      serving = false;
    }
  }

  /** Handles the next request; returns whether there was one. */
  private boolean serveOne() {
    if (discarding) {
      discardBody();
      return false;
    }
    if (current != null || closed || closeAfterResponse) {
      return false;
    }
    try {
      Optional<HttpMessage> request = reader.poll();
      if (request.isPresent()) {
        current = new ActiveExchange(request.get());
        listener.handler().handle(request.get(), current);
        return true;
      }
      if (!reserveBody()) {
        refuseBody();
      }
    } catch (MalformedMessage e) {
      reject(e.status(), e.getMessage());
    }
    return false;
  }

  private boolean reserveBody() {
    long bytes = reader.expectedBodyBytes();
    if (bytes <= reservedBytes) {
      return true;
    }
    boolean reserved = listener.bodyBudget().tryReserve(reservedBytes, bytes);
    reservedBytes = reserved ? bytes : reservedBytes;
    return reserved;
  }

  private void releaseBody() {
    listener.bodyBudget().release(reservedBytes);
    reservedBytes = 0;
  }

  /**
   * Refuses a request whose body does not fit into memory. The rest of the body is read and
   * discarded, since closing a connection with unread bytes would reset it before the caller has
   * read the answer.
   */
  private void refuseBody() {
    discarding = true;
    reader.discardBody();
    releaseBody();
    List<HttpField> fields =
        List.of(
            new HttpField("Retry-After", Long.toString(BODY_RETRY_AFTER_SECONDS)),
            CONNECTION_CLOSE);
    HttpMessage refusal = HttpMessage.of(Responses.statusLine(UNAVAILABLE), fields);
    socket
        .write(ByteBuf.wrapForReading(refusal.encode(true)))
        .subscribe(
            (ok, failure) -> {
              refusalWritten = true;
              if (failure != null || bodyDiscarded) {
                close();
              }
            });
    discardBody();
  }

  private void discardBody() {
    try {
      bodyDiscarded |= reader.poll().isPresent();
      if (bodyDiscarded && refusalWritten) {
        close();
      }
    } catch (MalformedMessage e) {
      close();
    }
  }

  private void reject(int status, String reason) {
    closeAfterResponse = true;
    current = new ActiveExchange(HttpMessage.of("GET / HTTP/1.1", List.of()));
    current.respond(Responses.text(status, reason));
  }

  private void notifyAbandoned() {
    ActiveExchange abandoned = current;
    current = null;
    if (abandoned != null && abandoned.onAbandoned != null) {
      abandoned.onAbandoned.run();
    }
  }

  /** The request that is being handled. */
  private final class ActiveExchange implements RequestHandler.Exchange {

    private final HttpMessage request;
    private Runnable onAbandoned;

    ActiveExchange(HttpMessage request) {
      this.request = request;
    }

    @Override
    public void onAbandoned(Runnable action) {
      onAbandoned = action;
    }

    @Override
    public void respond(HttpMessage response) {
      if (current != this || closed) {
        return;
      }
      boolean closes = closeAfterResponse || listener.isClosing() || request.closesConnection();
      List<HttpField> fields = new ArrayList<>(response.fields());
      if (closes) {
        fields.add(CONNECTION_CLOSE);
        closeAfterResponse = true;
      }
      byte[] bytes = HttpMessage.of(response.startLine(), fields, response.body()).encode(true);
      socket.write(ByteBuf.wrapForReading(bytes)).subscribe((ok, failure) -> onWritten(failure));
    }

    private void onWritten(Exception failure) {
      if (closed || current != this) {
        return;
      }
      current = null;
      releaseBody();
      waitingSinceMillis = listener.nowMillis();
      if (failure != null || closeAfterResponse) {
        close();
      } else {
        serveNext();
        resumeReading();
      }
    }
  }
}
