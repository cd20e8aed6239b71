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
final class Connections implements TcpSocket.Inspector {

  private final Set<TcpSocket> all = new HashSet<>();
  private final Set<TcpSocket> fresh = new HashSet<>();
  private TcpSocket current;
  private int greatestOpen;

  int open() {
    return all.size();
  }

  int greatestOpen() {
    return greatestOpen;
  }

  TcpSocket current() {
    return current;
  }

  /** Returns true once for each connection. */
  boolean isFirstRequest(TcpSocket socket) {
    return fresh.remove(socket);
  }

  /** Closes all connections so that their clients see resets. */
  void resetAll() {
    Set.copyOf(all).forEach(Connections::reset);
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
    all.add(socket);
    greatestOpen = Math.max(greatestOpen, all.size());
    fresh.add(socket);
  }

  @Override
  public void onRead(TcpSocket socket, ByteBuf buf) {
    current = socket;
  }

  @Override
  public void onDisconnect(TcpSocket socket) {
    all.remove(socket);
    fresh.remove(socket);
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
