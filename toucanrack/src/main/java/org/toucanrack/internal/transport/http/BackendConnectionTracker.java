package org.toucanrack.internal.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Determines the socket of each {@link BackendCall}. ActiveJ's client cannot cancel a request, so
 * the call needs its socket, which is taken from the first write after the call's start.
 *
 * <p>Invariant: {@code startingCall} is set only while the client writes the request of that call.
 * Confined to one event loop.
 */
final class BackendConnectionTracker {

  private BackendCall startingCall;

  /**
   * Sends a call's request and tracks its socket; a pooled connection is written to before this
   * method returns.
   */
  void track(BackendCall call, Runnable send) {
    startingCall = call;
    try {
      send.run();
    } finally {
      startingCall = null;
    }
  }

  HttpClient.Inspector clientInspector() {
    return new ClientInspector();
  }

  TcpSocket.Inspector socketInspector() {
    return new SocketInspector();
  }

  private void assignSocket(TcpSocket socket) {
    BackendCall call = startingCall;
    startingCall = null;
    if (call != null) {
      call.attachConnection(socket);
    }
  }

  private final class ClientInspector extends HttpClient.JmxInspector {

    @Override
    public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
      super.onRequestComplete(response, connection);
      ClientConnectionAccess.closeIfBytesRemain(connection);
    }

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      super.onConnect(request, connection);
      startingCall = request.getAttachment(BackendCall.class);
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception cause) {
      super.onConnectError(request, address, cause);
      BackendCall call = request.getAttachment(BackendCall.class);
      if (call != null) {
        call.markConnectFailed();
      }
    }
  }

  private final class SocketInspector extends TcpSocket.JmxInspector {

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buffer, int bytes) {
      super.onWrite(socket, buffer, bytes);
      assignSocket(socket);
    }

    @Override
    public void onWriteError(TcpSocket socket, IOException cause) {
      super.onWriteError(socket, cause);
      assignSocket(socket);
    }
  }
}
