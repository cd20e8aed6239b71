package org.toucanrack.internal.transport.http;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.TcpSocket;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/**
 * One request to a backend server and the connection it was written to.
 *
 * <p>Invariant: the answer completes once. Confined to one event loop, except for the answer.
 */
final class BackendCall {

  private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private TcpSocket socket;
  private boolean connectFailed;

  CompletableFuture<ForwardAnswer> answer() {
    return answer;
  }

  /**
   * Completes when the backend server has stopped working on the request, as far as this VM knows.
   */
  CompletableFuture<Void> stopped() {
    return stopped;
  }

  void markConnectFailed() {
    connectFailed = true;
  }

  /** Records the connection; closes it at once if the call has already been answered. */
  void attachConnection(TcpSocket connection) {
    socket = connection;
    if (answer.isDone()) {
      closeConnection();
    }
  }

  /** Returns whether no byte of the request was handed to a connection, and none will be. */
  boolean neverWritten() {
    return connectFailed && socket == null;
  }

  /** Answers with the complete response; the connection may be reused. */
  void finish(ForwardAnswer response) {
    stopped.complete(null);
    answer.complete(response);
  }

  /** Answers early and closes the connection, so that it never returns to the pool. */
  void abort(ForwardAnswer earlyAnswer) {
    stopped.complete(null);
    interrupt(earlyAnswer);
  }

  /**
   * Like {@link #abort}, but the caller completes {@link #stopped}. Returns whether the call was
   * still open.
   */
  boolean interrupt(ForwardAnswer earlyAnswer) {
    boolean first = answer.complete(earlyAnswer);
    if (first) {
      closeConnection();
    }
    return first;
  }

  private void closeConnection() {
    if (socket != null) {
      socket.closeEx(new AsyncCloseException("call ended before its response was complete"));
    }
  }
}
