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
 * Tracks the open connections of one backend server and closes or corrupts them to inject faults.
 * Confined to the event loop.
 *
 * <p>The HTTP server calls the servlet synchronously from the read that completes the request line.
 * The last socket read is therefore the connection of the request that the servlet is called with.
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

  /** Returns true on the first call for each connection, and false afterwards. */
  boolean consumeFirstRequest(TcpSocket socket) {
    return socketsWithoutRequest.remove(socket);
  }

  /** Resets all open connections. */
  void resetAll() {
    Set.copyOf(openSockets).forEach(ConnectionTracker::reset);
  }

  /** Closes a connection with a TCP reset (SO_LINGER of 0). */
  static void reset(TcpSocket socket) {
    try {
      SocketChannel channel = socket.getSocketChannel();
      if (channel != null && channel.isOpen()) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      }
    } catch (IOException e) {
      // The client has already closed the connection, so no reset can be sent.
    }
    socket.close();
  }

  /** Writes raw bytes to the connection, bypassing the HTTP server, and closes it. */
  static void writeAndClose(TcpSocket socket, String text) {
    try {
      SocketChannel channel = socket.getSocketChannel();
      if (channel != null && channel.isOpen()) {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
      }
    } catch (IOException e) {
      // The client has already closed the connection.
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
