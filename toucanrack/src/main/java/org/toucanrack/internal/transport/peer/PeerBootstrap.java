package org.toucanrack.internal.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Creates client bootstraps with the options of peer connections. Stateless and thread-safe. */
final class PeerBootstrap {

  private PeerBootstrap() {}

  static Bootstrap client(EventLoop loop, PeerSettings.Limits limits) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.handshakeTimeout().toMillis())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark(limits));
  }

  static WriteBufferWaterMark writeBufferWaterMark(PeerSettings.Limits limits) {
    return new WriteBufferWaterMark(limits.maxQueuedBytes() / 2, limits.maxQueuedBytes());
  }
}
