package org.toucanrack.internal.transport.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts callers' connections on one event loop, checks their bytes and hands them to an ActiveJ
 * server.
 *
 * <p>Invariant: all servers that share the counter have at most {@code maxConnections} open.
 * Confined to one event loop, except for the counter.
 */
final class CallersServer extends AbstractReactiveServer {

  private final TrafficSettings settings;
  private final AtomicInteger connections;
  private final HttpServer http;
  private final Set<CheckedSocket> sockets = new HashSet<>();
  private CheckedSocket accepting;

  CallersServer(
      NioReactor reactor,
      AsyncServlet servlet,
      TrafficSettings settings,
      AtomicInteger connections) {
    super(reactor);
    this.settings = settings;
    this.connections = connections;
    this.http =
        HttpServer.builder(reactor, servlet)
            .withKeepAliveTimeout(settings.idleTimeout())
            .withReadWriteTimeout(settings.bodyTimeout().plus(settings.headerTimeout()))
            .withInspector(new AcceptInspector())
            .build();
  }

  @Override
  protected void serve(ITcpSocket socket, InetAddress remote) {
    if (connections.incrementAndGet() > settings.maxConnections()) {
      connections.decrementAndGet();
      socket.close();
      return;
    }
    accepting = new CheckedSocket(socket, reactor, settings, this::closed);
    sockets.add(accepting);
    HttpServerAccess.serve(http, accepting, remote);
  }

  /** Closes connections that neither receive nor serve a request; returns how many remain. */
  int closeIdle() {
    List.copyOf(sockets).stream().filter(CheckedSocket::idle).forEach(CheckedSocket::close);
    return sockets.size();
  }

  private void closed(CheckedSocket socket) {
    if (sockets.remove(socket)) {
      connections.decrementAndGet();
    }
  }

  /** Lets the servlet find the socket of a request. */
  private final class AcceptInspector extends HttpServer.JmxInspector {

    @Override
    public void onAccept(HttpServerConnection connection) {
      super.onAccept(connection);
      connection.setUserData(accepting);
    }
  }
}
