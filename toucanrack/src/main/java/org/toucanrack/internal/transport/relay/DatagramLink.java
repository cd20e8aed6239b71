package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/** Sends and receives UDP datagrams on one local address. Confined to one event loop. */
public final class DatagramLink {

  private final UdpSocket socket;
  private final BiConsumer<byte[], InetSocketAddress> receiver;
  private final Consumer<Exception> errorHandler;
  private boolean closed;

  private DatagramLink(
      UdpSocket socket,
      BiConsumer<byte[], InetSocketAddress> receiver,
      Consumer<Exception> errorHandler) {
    this.socket = socket;
    this.receiver = receiver;
    this.errorHandler = errorHandler;
  }

  /**
   * Binds the address and starts receiving.
   *
   * @param receiver called with the bytes and the sender of each datagram
   * @param errorHandler called on each send or receive error; the link stays open
   */
  public static DatagramLink open(
      NioReactor reactor,
      InetSocketAddress address,
      BiConsumer<byte[], InetSocketAddress> receiver,
      Consumer<Exception> errorHandler) {
    try {
      DatagramChannel channel = DatagramChannel.open();
      channel.configureBlocking(false);
      channel.bind(address);
      UdpSocket[] opened = new UdpSocket[1];
      UdpSocket.connect(reactor, channel).whenResult(socket -> opened[0] = socket);
      DatagramLink link = new DatagramLink(opened[0], receiver, errorHandler);
      link.receiveNext();
      return link;
    } catch (IOException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS, "cannot listen on UDP " + address + ": " + e.getMessage(), e);
    }
  }

  /** Sends a datagram; delivery is not guaranteed. */
  public void send(byte[] bytes, InetSocketAddress recipient) {
    socket
        .send(UdpPacket.of(ByteBuf.wrapForReading(bytes), recipient))
        .whenException(errorHandler::accept);
  }

  /** Stops receiving and closes the socket. */
  public void close() {
    closed = true;
    socket.close();
  }

  private void receiveNext() {
    socket
        .receive()
        .subscribe(
            (packet, failure) -> {
              if (closed) {
                return;
              }
              if (failure != null) {
                errorHandler.accept(failure);
              } else {
                byte[] bytes = packet.getBuf().asArray();
                receiver.accept(bytes, packet.getSocketAddress());
              }
              receiveNext();
            });
  }
}
