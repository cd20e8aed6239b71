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
 * Accepts callers' connections on one event loop, checks their framing and passes them to an
 * ActiveJ server.
 *
 * <p>Invariant: all servers that share the counter have at most {@code maxConnections} open.
 * Confined to one event loop, except for the counter.
 */
final class CallersServer extends AbstractReactiveServer {

  private final TrafficSettings settings;
  private final AtomicInteger openConnections;
  private final HttpServer http;
  private final Set<CheckedSocket> sockets = new HashSet<>();
  private CheckedSocket acceptedSocket;

  CallersServer(
      NioReactor reactor,
      AsyncServlet servlet,
      TrafficSettings settings,
      AtomicInteger openConnections) {
    super(reactor);
    this.settings = settings;
    this.openConnections = openConnections;
    this.http =
        HttpServer.builder(reactor, servlet)
            .withKeepAliveTimeout(settings.idleTimeout())
            .withReadWriteTimeout(settings.bodyTimeout().plus(settings.headerTimeout()))
            .withInspector(new AcceptInspector())
            .build();
  }

  @Override
  protected void serve(ITcpSocket socket, InetAddress remote) {
    if (openConnections.incrementAndGet() > settings.maxConnections()) {
      openConnections.decrementAndGet();
      socket.close();
      return;
    }
    acceptedSocket = new CheckedSocket(socket, reactor, settings, this::onClosed);
    sockets.add(acceptedSocket);
    HttpServerAccess.serve(http, acceptedSocket, remote);
  }

  /** Closes connections that neither receive nor serve a request; returns how many remain. */
  int closeIdle() {
    List.copyOf(sockets).stream().filter(CheckedSocket::isIdle).forEach(CheckedSocket::close);
    return sockets.size();
  }

  private void onClosed(CheckedSocket socket) {
    if (sockets.remove(socket)) {
      openConnections.decrementAndGet();
    }
  }

  /** Attaches the socket to its connection, so that the servlet can find it. */
  private final class AcceptInspector extends HttpServer.JmxInspector {

    @Override
    public void onAccept(HttpServerConnection connection) {
      super.onAccept(connection);
      connection.setUserData(acceptedSocket);
    }
  }
}
