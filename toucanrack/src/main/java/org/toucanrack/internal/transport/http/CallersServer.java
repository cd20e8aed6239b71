package org.toucanrack.internal.transport.http;

import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;

/** Accepts callers' connections on one event loop and hands them to an ActiveJ server. */
final class CallersServer extends AbstractReactiveServer {

  private final HttpServer http;

  CallersServer(NioReactor reactor, HttpServer http) {
    super(reactor);
    this.http = http;
  }

  @Override
  protected void serve(ITcpSocket socket, InetAddress remote) {
    HttpServerAccess.serve(http, socket, remote);
  }
}
