package org.toucanrack.internal.transport.http;

import io.activej.http.HttpServer;
import io.activej.net.socket.tcp.ITcpSocket;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.net.InetAddress;

/**
 * Passes an accepted connection to an ActiveJ server. {@code HttpServer.serve} is protected and the
 * class final, so there is no other way to put a check between the socket and the HTTP parser.
 * Stateless.
 */
final class HttpServerAccess {

  private static final MethodHandle SERVE = findServe();

  private HttpServerAccess() {}

  static void serve(HttpServer server, ITcpSocket socket, InetAddress remote) {
    try {
      SERVE.invokeExact(server, socket, remote);
    } catch (RuntimeException | Error e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException(e);
    }
  }

  private static MethodHandle findServe() {
    try {
      return MethodHandles.privateLookupIn(HttpServer.class, MethodHandles.lookup())
          .findVirtual(
              HttpServer.class,
              "serve",
              MethodType.methodType(void.class, ITcpSocket.class, InetAddress.class));
    } catch (ReflectiveOperationException e) {
      throw new ExceptionInInitializerError(e);
    }
  }
}
