package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.protocol.message.EncodedMessage;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;

/**
 * One accepted connection of a caller.
 *
 * <p>Invariants: requests are started as {@link ResponseQueue} allows and answered in the order in
 * which they were read. The connection is read while requests run, to detect a caller that
 * disconnects, until a limited number of bytes wait behind them. A request that does not fit into
 * the memory for requests is refused before it is handled, or waits while earlier ones of its
 * connection run. Confined to one event loop.
 */
final class ServerConnection {

  /** Bytes that may wait behind requests that have no answer yet. */
  private static final long MAX_READ_AHEAD_BYTES = 64 * 1024;

  /**
   * Time for which a connection is read after its last answer. Closing it with unread bytes would
   * reset it before the caller has read the answer.
   */
  private static final long MAX_LINGER_MS = 1000;

  /** Callers retry a request after this time if it did not fit into memory. */
  private static final int MEMORY_RETRY_AFTER_SECONDS = 1;

  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;

  /** Stands for a request that could not be read. */
  private static final HttpMessage UNREADABLE = HttpMessage.of("GET / HTTP/1.1", List.of());

  private final HttpListener listener;
  private final ITcpSocket socket;
  private final RequestReader reader;
  private final MessageWriter writer;
  private final ResponseQueue queue = new ResponseQueue();

  /** Start of the wait for the rest of a request or for the next request. */
  private long waitingSinceMillis;

  private long lingeringSinceMillis;
  private boolean lingering;
  private boolean reading;
  private boolean processing;
  private boolean closed;

  /** Whether the requests of this connection did not fit into memory when it was last reserved. */
  private boolean memoryShort;

  /** Bytes of complete responses that are counted in the listener's budget. */
  private long unsentBytes;

  ServerConnection(HttpListener listener, ITcpSocket socket, long nowMillis) {
    this.listener = listener;
    this.socket = socket;
    this.writer = new MessageWriter(socket);
    this.waitingSinceMillis = nowMillis;
    this.reader = new RequestReader(listener.limits(), listener.requestBudget());
  }

  void start() {
    readNext();
  }

  /** Returns whether no request is being received or handled. */
  boolean isIdle() {
    return lingering || queue.isEmpty() && !reader.hasNext() && !reader.inRequest();
  }

  /** Returns the memory in bytes that is held for requests without an answer. */
  long requestBytes() {
    return reader.heldBytes() + queue.requestBytes();
  }

  /** Returns the memory in bytes that is held for responses that were not written completely. */
  long unsentBytes() {
    return unsentBytes;
  }

  /** Returns for how long the caller has accepted nothing of its answers. */
  long stalledMillis(long nowMillis) {
    return writer.stalledMillis(nowMillis);
  }

  /**
   * Rejects a request that arrives too slowly, and closes a connection that is idle for too long or
   * whose caller accepts no more of its answers.
   */
  void enforceLimits(long nowMillis) {
    if (closed) {
      return;
    }
    ListenerLimits limits = listener.limits();
    long waitedMillis = nowMillis - waitingSinceMillis;
    boolean requestTimedOut = waitedMillis > limits.requestTimeout().toMillis();
    if (lingering && nowMillis - lingeringSinceMillis > MAX_LINGER_MS
        || stalledMillis(nowMillis) > limits.idleTimeout().toMillis()
        || reader.isDiscarding() && requestTimedOut) {
      close();
    } else if (lingering || !queue.isEmpty()) {
      return;
    } else if (reader.inRequest() && requestTimedOut) {
      reject(408, "the request did not arrive in time");
    } else if (!reader.inRequest() && waitedMillis > limits.idleTimeout().toMillis()) {
      close();
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      listener.remove(this);
      reader.release();
      listener.responseBudget().update(unsentBytes, 0);
      unsentBytes = 0;
      socket.close();
      queue.removeAll().forEach(PendingResponse::abandon);
    }
  }

  private void readNext() {
    if (closed || reading || pausesReading()) {
      return;
    }
    reading = true;
    socket.read().subscribe(this::onRead);
  }

  /**
   * Bounds the bytes that are buffered behind requests that have no answer yet. The connection is
   * read again after one of its answers at the latest.
   */
  private boolean pausesReading() {
    return !queue.isEmpty()
        && !queue.isClosed()
        && (memoryShort || reader.heldBytes() > MAX_READ_AHEAD_BYTES);
  }

  /** Returns whether the requests of this connection fit into the memory for all connections. */
  private boolean reserveMemory() {
    memoryShort = !reader.reserve(queue.requestBytes());
    return !memoryShort;
  }

  private void onRead(ByteBuf bytes, Exception failure) {
    reading = false;
    if (closed) {
      if (bytes != null) {
        bytes.recycle();
      }
      return;
    }
    if (failure != null || bytes == null) {
      close();
      return;
    }
    if (!reader.inRequest()) {
      waitingSinceMillis = listener.nowMillis();
    }
    // Bytes behind a request whose answer closes the connection count as not read.
    if (!queue.isClosed() || reader.isDiscarding()) {
      reader.feed(bytes);
    }
    bytes.recycle();
    process();
  }

  /**
   * Starts requests and writes answers as far as possible. Answers that are given or written at
   * once continue this loop instead of calling it again, so that many small requests need no deep
   * stack.
   */
  private void process() {
    if (processing) {
      return;
    }
    processing = true;
    try {
      boolean progressed = true;
      while (progressed) {
        progressed = startNext();
        progressed |= writeNext();
      }
    } finally {
      processing = false;
      readNext();
    }
  }

  /** Starts the next request if it may start; returns whether it did. */
  private boolean startNext() {
    if (reader.isDiscarding()) {
      discardBody();
    }
    if (closed || queue.isClosed()) {
      return false;
    }
    final boolean isNew = !reader.hasNext();
    Optional<HttpMessage> next;
    try {
      next = reader.peek();
    } catch (MalformedMessage e) {
      reject(e.status(), e.getMessage());
      return true;
    }
    boolean fits = reserveMemory();
    if (!fits && queue.isEmpty()) {
      refuseForMemory();
      return true;
    }
    if (next.isEmpty()) {
      return false;
    }
    if (!queue.mayStart(next.get())) {
      if (isNew) {
        listener.observer().waitsForOthers(next.get());
      }
      return false;
    }
    if (fits) {
      startRequest(reader.take());
    }
    return fits;
  }

  private void startRequest(HttpMessage request) {
    if (!queue.isEmpty()) {
      listener.observer().startedBehindOthers(request);
    }
    PendingResponse pending = queue.add(request);
    listener.handler().handle(request, new QueuedExchange(pending));
  }

  /** Writes the next part of the answers that are ready; returns whether there was one. */
  private boolean writeNext() {
    if (closed || writer.isWriting()) {
      return false;
    }
    if (!writer.hasMore()) {
      List<PendingResponse> ready =
          queue.startWriting(MessageWriter.MAX_PART_BYTES, listener.isClosing());
      if (ready.isEmpty()) {
        return false;
      }
      writer.start(encode(ready));
    }
    writer.writePart(listener.nowMillis(), this::onPartWritten);
    if (!closed) {
      updateUnsentBytes();
    }
    return !closed;
  }

  private List<EncodedMessage> encode(List<PendingResponse> responses) {
    List<EncodedMessage> encoded = new ArrayList<>(responses.size());
    long now = listener.nowMillis();
    for (PendingResponse pending : responses) {
      if (pending.isHeld()) {
        listener.observer().responseHeld(pending.request(), now - pending.completedMillis());
      }
      encoded.add(pending.encode(queue.closesAfter(pending)));
    }
    return encoded;
  }

  private void onPartWritten(Exception failure) {
    if (closed) {
      return;
    }
    if (failure != null) {
      close();
      return;
    }
    updateUnsentBytes();
    if (!writer.hasMore()) {
      queue.finishWriting();
      if (!reader.isDiscarding()) {
        waitingSinceMillis = listener.nowMillis();
      }
      if (queue.isEmpty()) {
        reader.release();
        linger();
      }
    }
    process();
  }

  /** Ends the output after the last answer, and reads on until the caller closes. */
  private void linger() {
    if (!queue.isClosed() || reader.awaitsEndOfDiscardedBody() || lingering) {
      return;
    }
    lingering = true;
    lingeringSinceMillis = listener.nowMillis();
    writer.end(
        failure -> {
          if (failure != null) {
            close();
          }
        });
  }

  /** Refuses a request that does not fit into memory; the rest of it is discarded. */
  private void refuseForMemory() {
    listener.observer().refusedForMemory(reader.nextHead().orElse(UNREADABLE));
    reader.startDiscarding();
    HttpField retryAfter = new HttpField("Retry-After", Long.toString(MEMORY_RETRY_AFTER_SECONDS));
    answerAndClose(HttpMessage.of(Responses.statusLine(UNAVAILABLE), List.of(retryAfter)));
    discardBody();
  }

  private void discardBody() {
    try {
      if (reader.discardBody() && queue.isEmpty()) {
        linger();
      }
    } catch (MalformedMessage e) {
      close();
    }
  }

  private void reject(int status, String reason) {
    answerAndClose(Responses.text(status, reason));
    process();
  }

  /** Answers the request that is being read, behind the earlier ones. */
  private void answerAndClose(HttpMessage response) {
    PendingResponse pending = queue.add(UNREADABLE);
    queue.close();
    queue.complete(pending, response, listener.nowMillis());
  }

  /** Returns whether the responses that wait fit into the memory for them. */
  private boolean updateUnsentBytes() {
    long bytes = queue.heldBytes() + writer.heldBytes();
    boolean fits = listener.responseBudget().update(unsentBytes, bytes);
    unsentBytes = bytes;
    return fits;
  }

  private void onResponse(PendingResponse pending, HttpMessage response) {
    if (closed || !queue.complete(pending, response, listener.nowMillis())) {
      return;
    }
    if (response.closesConnection()) {
      for (PendingResponse cancelled : queue.removeBehind(pending)) {
        cancelled.abandon();
        listener.observer().cancelledBehindClose(cancelled.request());
      }
    }
    boolean exhaustedByOthers =
        listener.responseBudget().isExhausted()
            && pending.responseBytes() > MessageWriter.MAX_PART_BYTES;
    boolean fits = updateUnsentBytes();
    if (!fits && pending.isHeld() || exhaustedByOthers) {
      // 502 promises nothing about whether the request has run.
      pending.replaceResponse(HttpMessage.of(Responses.statusLine(BAD_GATEWAY), List.of()));
      updateUnsentBytes();
      listener.observer().responseDropped(pending.request());
    }
    process();
  }

  /** A request that was started. */
  private final class QueuedExchange implements RequestHandler.Exchange {

    private final PendingResponse pending;

    QueuedExchange(PendingResponse pending) {
      this.pending = pending;
    }

    @Override
    public void onAbandoned(Runnable action) {
      pending.onAbandoned(action);
    }

    @Override
    public void respond(HttpMessage response) {
      // The response is written with its length, so that its own framing does not matter.
      onResponse(pending, HttpMessage.of(response.startLine(), response.fields(), response.body()));
    }
  }
}
