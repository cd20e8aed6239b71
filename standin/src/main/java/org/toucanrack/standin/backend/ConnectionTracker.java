package org.toucanrack.standin.backend;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The connections of one backend server: counts them and breaks them on purpose. Confined to the
 * event loop.
 *
 * <p>A servlet runs on the stack of the read that completed the request line, so the socket that
 * read last is the one of the request at hand.
 */
final class ConnectionTracker implements TcpSocket.Inspector {

  private final Set<TcpSocket> openSockets = new HashSet<>();
  private final Set<TcpSocket> socketsWithoutRequest = new HashSet<>();
  private TcpSocket lastReadSocket;
  private int peakOpenCount;

  int openCount() {
    return openSockets.size();
  }

  int peakOpenCount() {
    return peakOpenCount;
  }

  TcpSocket lastReadSocket() {
    return lastReadSocket;
  }

  /** Returns true once for each connection. */
  boolean consumeFirstRequest(TcpSocket socket) {
    return socketsWithoutRequest.remove(socket);
  }

  /** Closes all connections so that their clients see resets. */
  void resetAll() {
    Set.copyOf(openSockets).forEach(ConnectionTracker::reset);
  }

  /** Closes a connection so that the client sees a reset. */
  static void reset(TcpSocket socket) {
    try {
      SocketChannel channel = socket.getSocketChannel();
      if (channel != null && channel.isOpen()) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException e) {
      // The client closed the connection first; closing it below is all that is left to do.
    }
    socket.close();
  }

  /** Writes raw bytes past the HTTP server, then closes the connection. */
  static void writeAndClose(TcpSocket socket, String text) {
    try {
      SocketChannel channel = socket.getSocketChannel();
      if (channel != null && channel.isOpen()) {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
      }
    } catch (IOException e) {
      // The client closed the connection first.
    }
    socket.close();
  }

  @Override
  public void onConnect(TcpSocket socket) {
    openSockets.add(socket);
    peakOpenCount = Math.max(peakOpenCount, openSockets.size());
    socketsWithoutRequest.add(socket);
  }

  @Override
  public void onRead(TcpSocket socket, ByteBuf buf) {
    lastReadSocket = socket;
  }

  @Override
  public void onDisconnect(TcpSocket socket) {
    openSockets.remove(socket);
    socketsWithoutRequest.remove(socket);
  }

  @Override
  public void onReadTimeout(TcpSocket socket) {}

  @Override
  public void onReadEndOfStream(TcpSocket socket) {}

  @Override
  public void onReadError(TcpSocket socket, IOException e) {}

  @Override
  public void onWriteTimeout(TcpSocket socket) {}

  @Override
  public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {}

  @Override
  public void onWriteError(TcpSocket socket, IOException e) {}

  @Override
  public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
