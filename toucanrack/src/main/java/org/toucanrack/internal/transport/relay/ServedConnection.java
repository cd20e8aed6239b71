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
 * One connection of a caller.
 *
 * <p>Invariant: requests are handled one at a time and answered in order; the bytes of an answer
 * follow the request it belongs to. The connection is read all the time, so that a caller that
 * leaves is noticed while its request runs. Confined to one event loop.
 */
final class ServedConnection {

  private static final HttpField CLOSE = new HttpField("Connection", "close");

  private final HttpListener listener;
  private final ITcpSocket socket;
  private final MessageReader reader;
  private Served current;
  private long activeSinceMillis;
  private boolean closeAfterAnswer;
  private boolean ended;
  private boolean closed;

  ServedConnection(HttpListener listener, ITcpSocket socket, long nowMillis) {
    this.listener = listener;
    this.socket = socket;
    this.activeSinceMillis = nowMillis;
    ListenerLimits limits = listener.limits();
    reader =
        new MessageReader(MessageReader.Kind.REQUEST, limits.maxHeadBytes(), limits.maxBodyBytes());
  }

  void start() {
    readMore();
  }

  /** Returns whether no request is being received or handled. */
  boolean isIdle() {
    return current == null && !reader.holdsBytes();
  }

  /** Closes the connection if its caller was too slow or silent for too long. */
  void enforceLimits(long nowMillis) {
    if (current != null || closed) {
      return;
    }
    long silent = nowMillis - activeSinceMillis;
    if (reader.holdsBytes() && silent > listener.limits().headTimeout().toMillis()) {
      reject(408, "the request did not arrive in time");
    } else if (!reader.holdsBytes() && silent > listener.limits().idleTimeout().toMillis()) {
      close();
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      listener.forget(this);
      socket.close();
      abandon();
    }
  }

  private void readMore() {
    if (closed || ended) {
      return;
    }
    socket.read().subscribe(this::received);
  }

  private void received(ByteBuf bytes, Exception failure) {
    if (closed) {
      if (bytes != null) {
        bytes.recycle();
      }
      return;
    }
    if (failure != null || bytes == null) {
      ended = true;
      close();
      return;
    }
    if (!reader.holdsBytes()) {
      activeSinceMillis = listener.nowMillis();
    }
    reader.feed(bytes.array(), bytes.head(), bytes.readRemaining());
    bytes.recycle();
    serveNext();
    readMore();
  }

  private void serveNext() {
    if (current != null || closed || closeAfterAnswer) {
      return;
    }
    try {
      Optional<HttpMessage> request = reader.poll();
      if (request.isPresent()) {
        current = new Served(request.get());
        listener.handler().handle(request.get(), current);
      }
    } catch (MalformedMessage e) {
      reject(e.status(), e.getMessage());
    }
  }

  private void reject(int status, String reason) {
    closeAfterAnswer = true;
    current = new Served(HttpMessage.of("GET / HTTP/1.1", List.of()));
    current.respond(Responses.text(status, reason));
  }

  private void abandon() {
    Served abandoned = current;
    current = null;
    if (abandoned != null && abandoned.onAbandoned != null) {
      abandoned.onAbandoned.run();
    }
  }

  /** The request that is being handled. */
  private final class Served implements RequestHandler.Exchange {

    private final HttpMessage request;
    private Runnable onAbandoned;

    Served(HttpMessage request) {
      this.request = request;
    }

    @Override
    public void onAbandoned(Runnable action) {
      onAbandoned = action;
    }

    @Override
    public void respond(HttpMessage answer) {
      if (current != this || closed) {
        return;
      }
      boolean closes = closeAfterAnswer || listener.isClosing() || request.closesConnection();
      List<HttpField> fields = new ArrayList<>(answer.fields());
      if (closes) {
        fields.add(CLOSE);
        closeAfterAnswer = true;
      }
      byte[] bytes = HttpMessage.of(answer.startLine(), fields, answer.body()).encoded(true);
      socket.write(ByteBuf.wrapForReading(bytes)).subscribe((ok, failure) -> written(failure));
    }

    private void written(Exception failure) {
      if (closed || current != this) {
        return;
      }
      current = null;
      activeSinceMillis = listener.nowMillis();
      if (failure != null || closeAfterAnswer) {
        close();
      } else {
        serveNext();
      }
    }
  }
}
