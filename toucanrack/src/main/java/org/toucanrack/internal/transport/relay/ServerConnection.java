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
 * handled. The connection is read continuously, to detect a caller that disconnects while its
 * request runs. Confined to one event loop.
 */
final class ServerConnection {

  private static final HttpField CONNECTION_CLOSE = new HttpField("Connection", "close");

  private final HttpListener listener;
  private final ITcpSocket socket;
  private final MessageReader reader;
  private ActiveExchange current;

  /** Start of the wait for the rest of a request or for the next request. */
  private long waitingSinceMillis;

  private boolean closeAfterResponse;
  private boolean inputEnded;
  private boolean closed;

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
    readNext();
  }

  private void serveNext() {
    if (current != null || closed || closeAfterResponse) {
      return;
    }
    try {
      Optional<HttpMessage> request = reader.poll();
      if (request.isPresent()) {
        current = new ActiveExchange(request.get());
        listener.handler().handle(request.get(), current);
      }
    } catch (MalformedMessage e) {
      reject(e.status(), e.getMessage());
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
      waitingSinceMillis = listener.nowMillis();
      if (failure != null || closeAfterResponse) {
        close();
      } else {
        serveNext();
      }
    }
  }
}
