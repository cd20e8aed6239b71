package org.toucanrack.internal.transport.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.toucanrack.ErrorCode;
import org.toucanrack.internal.protocol.FramingCheck;
import org.toucanrack.internal.protocol.FramingViolation;

/**
 * A caller's connection whose bytes are checked before ActiveJ parses them.
 *
 * <p>Invariant: no byte of a request that violates the framing rules is parsed after the violation
 * was seen. Confined to one event loop.
 */
final class CheckedSocket implements ITcpSocket {

  /** Longest time to read and discard what the caller still sends after the last response. */
  private static final Duration LINGER = Duration.ofMillis(500);

  private final ITcpSocket inner;
  private final NioReactor reactor;
  private final TrafficSettings settings;
  private final Consumer<CheckedSocket> onClose;
  private final FramingCheck check = new FramingCheck();
  private FramingCheck.Phase timedPhase;
  private long timedHeads = -1;
  private ScheduledRunnable timer;
  private boolean serving;
  private int writing;
  private boolean lastResponse;
  private boolean closed;

  CheckedSocket(
      ITcpSocket inner,
      NioReactor reactor,
      TrafficSettings settings,
      Consumer<CheckedSocket> onClose) {
    this.inner = inner;
    this.reactor = reactor;
    this.settings = settings;
    this.onClose = onClose;
    this.timer = reactor.delay(settings.idleTimeout(), this::timedOut);
  }

  void beginServing() {
    serving = true;
  }

  void endServing() {
    serving = false;
  }

  /** Closes the connection once the next response is written. */
  void closeAfterResponse() {
    lastResponse = true;
  }

  /** Returns whether no request is being received or served and no response is being written. */
  boolean idle() {
    return !serving && writing == 0 && check.phase() == FramingCheck.Phase.BETWEEN_REQUESTS;
  }

  @Override
  public Promise<ByteBuf> read() {
    if (check.violation().isPresent()) {
      return reject(check.violation().get());
    }
    return inner.read().then(this::checked);
  }

  private Promise<ByteBuf> checked(ByteBuf bytes) {
    if (bytes == null) {
      return Promise.of(null);
    }
    int safe = check.feed(bytes.array(), bytes.head(), bytes.tail());
    updateTimer();
    if (check.violation().isEmpty()) {
      return Promise.of(bytes);
    }
    if (safe > bytes.head()) {
      bytes.tail(safe);
      return Promise.of(bytes);
    }
    bytes.recycle();
    return reject(check.violation().get());
  }

  private Promise<ByteBuf> reject(FramingViolation violation) {
    String body = Refusals.json(Answers.notRun(ErrorCode.INVALID_REQUEST, violation.message()));
    String response =
        "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\n"
            + "Toucanrack-Verdict: not-run\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    return inner
        .write(ByteBuf.wrapForReading(response.getBytes(StandardCharsets.UTF_8)))
        .then(this::discardInput)
        .then(ignored -> Promise.ofException(new AsyncCloseException("framing violation")));
  }

  @Override
  public Promise<Void> write(ByteBuf bytes) {
    writing++;
    Promise<Void> written = inner.write(bytes).whenComplete(() -> writing--);
    return lastResponse ? written.whenResult(this::closeAfterDiscarding) : written;
  }

  private void closeAfterDiscarding() {
    lastResponse = false;
    discardInput().whenComplete(this::close);
  }

  /** Closing with unread input would reset the connection and could destroy the response. */
  private Promise<Void> discardInput() {
    if (inner.isClosed()) {
      return Promise.complete();
    }
    reactor.delayBackground(LINGER, this::close);
    return inner.write(null).then(this::discardNext);
  }

  private Promise<Void> discardNext() {
    return inner
        .read()
        .then(
            bytes -> {
              if (bytes == null) {
                return Promise.complete();
              }
              bytes.recycle();
              return discardNext();
            });
  }

  private void updateTimer() {
    FramingCheck.Phase phase = check.phase();
    if (phase == timedPhase && check.heads() == timedHeads) {
      return;
    }
    timedPhase = phase;
    timedHeads = check.heads();
    cancelTimer();
    if (phase == FramingCheck.Phase.HEAD) {
      timer = reactor.delay(settings.headerTimeout(), this::headerTimedOut);
    } else if (phase == FramingCheck.Phase.BODY) {
      timer = reactor.delay(settings.bodyTimeout(), this::timedOut);
    }
  }

  /** The rest of a pipelined head is not read while an earlier request is served. */
  private void headerTimedOut() {
    if (serving) {
      timer = reactor.delay(settings.headerTimeout(), this::headerTimedOut);
    } else {
      timedOut();
    }
  }

  private void timedOut() {
    closeEx(new AsyncTimeoutException("the caller sends too slowly"));
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  @Override
  public boolean isReadAvailable() {
    return inner.isReadAvailable();
  }

  @Override
  public boolean isClosed() {
    return inner.isClosed();
  }

  @Override
  public void closeEx(Exception cause) {
    if (!closed) {
      closed = true;
      cancelTimer();
      onClose.accept(this);
    }
    inner.closeEx(cause);
  }
}
