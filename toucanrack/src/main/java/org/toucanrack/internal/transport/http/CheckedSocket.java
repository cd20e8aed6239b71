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
 * A caller's connection whose framing is checked before ActiveJ parses the bytes.
 *
 * <p>Invariant: ActiveJ parses no byte of a request from the first framing violation on. Confined
 * to one event loop.
 */
final class CheckedSocket implements ITcpSocket {

  /** Maximum time to read and discard further input after the last response. */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(500);

  private final ITcpSocket delegate;
  private final NioReactor reactor;
  private final TrafficSettings settings;
  private final Consumer<CheckedSocket> onClose;
  private final FramingCheck framingCheck = new FramingCheck();
  private FramingCheck.Phase timedPhase;
  private long timedHeadCount = -1;
  private ScheduledRunnable timer;
  private boolean serving;
  private int pendingWrites;
  private boolean closeAfterWrite;
  private boolean closed;

  CheckedSocket(
      ITcpSocket delegate,
      NioReactor reactor,
      TrafficSettings settings,
      Consumer<CheckedSocket> onClose) {
    this.delegate = delegate;
    this.reactor = reactor;
    this.settings = settings;
    this.onClose = onClose;
    this.timer = reactor.delay(settings.idleTimeout(), this::onTimeout);
  }

  void beginServing() {
    serving = true;
  }

  void endServing() {
    serving = false;
  }

  /** Closes the connection once the next response is written. */
  void closeAfterResponse() {
    closeAfterWrite = true;
  }

  /** Returns whether no request is being received or served and no response is being written. */
  boolean isIdle() {
    return !serving
        && pendingWrites == 0
        && framingCheck.phase() == FramingCheck.Phase.BETWEEN_REQUESTS;
  }

  @Override
  public Promise<ByteBuf> read() {
    if (framingCheck.violation().isPresent()) {
      return reject(framingCheck.violation().get());
    }
    return delegate.read().then(this::check);
  }

  private Promise<ByteBuf> check(ByteBuf bytes) {
    if (bytes == null) {
      return Promise.of(null);
    }
    int validEnd = framingCheck.feed(bytes.array(), bytes.head(), bytes.tail());
    updateTimer();
    if (framingCheck.violation().isEmpty()) {
      return Promise.of(bytes);
    }
    if (validEnd > bytes.head()) {
      bytes.tail(validEnd);
      return Promise.of(bytes);
    }
    bytes.recycle();
    return reject(framingCheck.violation().get());
  }

  private Promise<ByteBuf> reject(FramingViolation violation) {
    String body =
        Refusals.json(ForwardAnswers.notRun(ErrorCode.INVALID_REQUEST, violation.message()));
    String response =
        "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\n"
            + "Toucanrack-Verdict: not-run\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    return delegate
        .write(ByteBuf.wrapForReading(response.getBytes(StandardCharsets.UTF_8)))
        .then(this::discardInput)
        .then(ignored -> Promise.ofException(new AsyncCloseException("framing violation")));
  }

  @Override
  public Promise<Void> write(ByteBuf bytes) {
    pendingWrites++;
    Promise<Void> written = delegate.write(bytes).whenComplete(() -> pendingWrites--);
    return closeAfterWrite ? written.whenResult(this::closeAfterDiscarding) : written;
  }

  private void closeAfterDiscarding() {
    closeAfterWrite = false;
    discardInput().whenComplete(this::close);
  }

  /**
   * Closing with unread input would reset the connection, and the caller could lose the response.
   */
  private Promise<Void> discardInput() {
    if (delegate.isClosed()) {
      return Promise.complete();
    }
    reactor.delayBackground(LINGER_TIMEOUT, this::close);
    return delegate.write(null).then(this::discardNext);
  }

  private Promise<Void> discardNext() {
    return delegate
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
    FramingCheck.Phase phase = framingCheck.phase();
    if (phase == timedPhase && framingCheck.headCount() == timedHeadCount) {
      return;
    }
    timedPhase = phase;
    timedHeadCount = framingCheck.headCount();
    cancelTimer();
    if (phase == FramingCheck.Phase.HEAD) {
      timer = reactor.delay(settings.headerTimeout(), this::onHeaderTimeout);
    } else if (phase == FramingCheck.Phase.BODY) {
      timer = reactor.delay(settings.bodyTimeout(), this::onTimeout);
    }
  }

  /**
   * Restarts the timer while an earlier request is served, since the rest of a pipelined head is
   * not read meanwhile.
   */
  private void onHeaderTimeout() {
    if (serving) {
      timer = reactor.delay(settings.headerTimeout(), this::onHeaderTimeout);
    } else {
      onTimeout();
    }
  }

  private void onTimeout() {
    closeEx(new AsyncTimeoutException("caller did not send a complete request in time"));
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  @Override
  public boolean isReadAvailable() {
    return delegate.isReadAvailable();
  }

  @Override
  public boolean isClosed() {
    return delegate.isClosed();
  }

  @Override
  public void closeEx(Exception cause) {
    if (!closed) {
      closed = true;
      cancelTimer();
      onClose.accept(this);
    }
    delegate.closeEx(cause);
  }
}
