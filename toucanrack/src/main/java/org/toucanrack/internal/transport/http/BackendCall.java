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

  /** Completes when the backend server no longer works on the request, as far as is known. */
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

  /** Answers with the complete response; the connection may be used again. */
  void finish(ForwardAnswer response) {
    stopped.complete(null);
    answer.complete(response);
  }

  /** Answers early and closes the connection, so that it never returns to the pool. */
  void abort(ForwardAnswer earlyAnswer) {
    stopped.complete(null);
    interrupt(earlyAnswer);
  }

  /** Like {@link #abort}, but {@link #stopped} is left to the caller. */
  boolean interrupt(ForwardAnswer earlyAnswer) {
    boolean first = answer.complete(earlyAnswer);
    if (first) {
      closeConnection();
    }
    return first;
  }

  private void closeConnection() {
    if (socket != null) {
      socket.closeEx(new AsyncCloseException("request ended before its response"));
    }
  }
}
