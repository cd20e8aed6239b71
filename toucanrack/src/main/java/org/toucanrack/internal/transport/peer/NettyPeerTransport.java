package org.toucanrack.internal.transport.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * Exchanges peer messages over TCP with Netty. Each pair of VMs uses one connection per direction,
 * authenticated by an HMAC challenge-response handshake. Thread-safe.
 *
 * <pre>{@code
 * NettyPeerTransport transport = new NettyPeerTransport(settings);
 * transport.registerHandler(PeerEnvelope.BodyCase.PROBE, (sender, probe) -> answer);
 * transport.listen();
 * }</pre>
 */
public final class NettyPeerTransport implements PeerTransport {

  private static final int IO_THREADS = 2;

  private final PeerSettings settings;
  private final HandshakeProof proof;
  private final EventLoopGroup group;
  private final Map<PeerEnvelope.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final Map<String, OutboundPeer> outboundPeers = new ConcurrentHashMap<>();
  private final EnvelopeEncoder encoder = new EnvelopeEncoder();
  private volatile boolean closed;

  /** Creates a transport that can send; call {@link #listen} to receive. */
  public NettyPeerTransport(PeerSettings settings) {
    this.settings = settings;
    this.proof = new HandshakeProof(settings.secret());
    this.group = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  }

  /** Listens on the peer address of the settings and returns the bound port. */
  public int listen() {
    InetSocketAddress address = settings.listen();
    try {
      Channel server = serverBootstrap().bind(address).syncUninterruptibly().channel();
      return ((InetSocketAddress) server.localAddress()).getPort();
    } catch (RuntimeException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS,
          "Cannot listen on " + address + " for peers. Choose a free address of this VM.",
          e);
    }
  }

  private ServerBootstrap serverBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            PeerBootstrap.writeBufferWaterMark(settings.limits()))
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel accepted) {
                EnvelopeDecoder decoder = new EnvelopeDecoder();
                InboundPeer peer = new InboundPeer(settings, proof, handlers, decoder);
                accepted.pipeline().addLast(decoder, encoder, peer);
              }
            });
  }

  @Override
  public CompletionStage<PeerEnvelope> request(
      String address, PeerEnvelope request, Duration timeout) {
    try {
      return outboundPeer(address).request(request, timeout);
    } catch (RuntimeException e) {
      return CompletableFuture.failedStage(
          new PeerCallException("request to " + address + " not started", false, e));
    }
  }

  @Override
  public void send(String address, PeerEnvelope message) {
    try {
      outboundPeer(address).send(message);
    } catch (RuntimeException e) {
      PeerLog.warn("Could not send a message to " + address + ".", e);
    }
  }

  private OutboundPeer outboundPeer(String address) {
    if (closed) {
      throw new IllegalStateException("the transport is closed");
    }
    return outboundPeers.computeIfAbsent(
        address, key -> new OutboundPeer(PeerAddress.parse(key), settings, proof, group.next()));
  }

  @Override
  public void registerHandler(PeerEnvelope.BodyCase type, PeerHandler handler) {
    handlers.put(type, handler);
  }

  @Override
  public void close() {
    closed = true;
    outboundPeers.values().forEach(OutboundPeer::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
  }
}
