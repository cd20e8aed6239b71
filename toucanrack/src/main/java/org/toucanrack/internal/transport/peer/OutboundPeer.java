package org.toucanrack.internal.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * Connecting end of the connection to one address. Connects on demand, reconnects after a loss and
 * fails the requests of a lost connection. Thread-safe; all mutable fields are confined to one I/O
 * thread.
 *
 * <p>Invariant: a request is written at most once, and is marked as written before any of its bytes
 * are passed to a channel.
 */
final class OutboundPeer {

  /** Time for which a replaced connection stays open to receive answers to its requests. */
  private static final long REPLACED_CONNECTION_CLOSE_DELAY_SECONDS = 60;

  private final InetSocketAddress address;
  private final PeerSettings settings;
  private final HandshakeProof proof;
  private final EventLoop eventLoop;
  private final EnvelopeEncoder encoder = new EnvelopeEncoder();
  private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
  private Channel channel;
  private boolean authenticated;
  private boolean closed;
  private long nextCorrelationId = 1;
  private long backoffMillis;
  private long retryAtNanos;
  private long lastReceivedNanos;

  OutboundPeer(
      InetSocketAddress address, PeerSettings settings, HandshakeProof proof, EventLoop eventLoop) {
    this.address = address;
    this.settings = settings;
    this.proof = proof;
    this.eventLoop = eventLoop;
    this.retryAtNanos = System.nanoTime();
  }

  CompletionStage<PeerEnvelope> request(PeerEnvelope request, Duration timeout) {
    PendingCall returnedCall = new PendingCall(0, request);
    eventLoop.execute(() -> startCall(request, timeout, returnedCall));
    return returnedCall.result;
  }

  void send(PeerEnvelope message) {
    eventLoop.execute(
        () -> {
          if (authenticated && canAccept(message)) {
            channel.writeAndFlush(message);
          } else {
            connectIfDue();
          }
        });
  }

  void close() {
    eventLoop.execute(
        () -> {
          closed = true;
          if (channel != null) {
            channel.close();
          }
          failAll(call -> true, null);
        });
  }

  private void startCall(PeerEnvelope request, Duration timeout, PendingCall returnedCall) {
    PendingCall call = new PendingCall(nextCorrelationId++, request);
    call.result.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            returnedCall.result.complete(answer);
          } else {
            returnedCall.result.completeExceptionally(failure);
          }
        });
    call.timer =
        eventLoop.schedule(() -> timeOut(call, timeout), timeout.toNanos(), TimeUnit.NANOSECONDS);
    String refusalReason = refusalReason(request);
    if (refusalReason != null) {
      call.fail("request to " + address + " refused: " + refusalReason, null);
      return;
    }
    pendingCalls.put(call.correlationId, call);
    if (authenticated) {
      write(call);
    } else if (!connectIfDue()) {
      pendingCalls.remove(call.correlationId);
      call.fail("peer " + address + " is not reachable; waiting for the reconnect backoff", null);
    }
  }

  private String refusalReason(PeerEnvelope request) {
    if (closed) {
      return "the transport is closed";
    }
    if (pendingCalls.size() >= settings.limits().maxOutstanding()) {
      return "too many unanswered requests";
    }
    return canAccept(request) ? null : "message too large or send buffer full";
  }

  private boolean canAccept(PeerEnvelope message) {
    boolean fits = message.getSerializedSize() <= settings.limits().maxMessageBytes() - 32;
    return fits && (!authenticated || channel.isWritable());
  }

  private void timeOut(PendingCall call, Duration timeout) {
    pendingCalls.remove(call.correlationId);
    if (authenticated && call.channel == channel && isUnresponsive()) {
      replaceConnection();
    }
    call.fail("peer " + address + " did not answer within " + timeout.toMillis() + " ms", null);
  }

  private boolean isUnresponsive() {
    long silentNanos = System.nanoTime() - lastReceivedNanos;
    return silentNanos >= settings.limits().maxSilence().toNanos();
  }

  /**
   * Makes the next request open a new connection. After a network partition TCP may retransmit on
   * the old connection only minutes later. The old connection stays open for a while, so that its
   * pending requests can still be answered.
   */
  private void replaceConnection() {
    Channel replaced = channel;
    channel = null;
    authenticated = false;
    eventLoop.schedule(
        () -> replaced.close(), REPLACED_CONNECTION_CLOSE_DELAY_SECONDS, TimeUnit.SECONDS);
  }

  private void write(PendingCall call) {
    call.written = true;
    call.channel = channel;
    channel.writeAndFlush(
        call.request.toBuilder().setCorrelationId(call.correlationId).setAnswer(false).build());
  }

  /** Connects unless a channel exists. Returns false after close and while the backoff lasts. */
  private boolean connectIfDue() {
    if (channel != null) {
      return true;
    }
    if (closed || System.nanoTime() - retryAtNanos < 0) {
      return false;
    }
    ChannelFuture connectFuture = bootstrap().connect(address);
    channel = connectFuture.channel();
    connectFuture.addListener(
        (ChannelFuture attempt) -> {
          if (!attempt.isSuccess()) {
            onConnectionLost(attempt.channel(), attempt.cause());
          }
        });
    return true;
  }

  private Bootstrap bootstrap() {
    return PeerBootstrap.client(eventLoop, settings.limits())
        .localAddress(settings.listen().getAddress(), 0)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel opened) {
                EnvelopeDecoder decoder = new EnvelopeDecoder();
                opened.pipeline().addLast(decoder, encoder);
                opened
                    .pipeline()
                    .addLast(
                        new ConnectorHandshake(settings, proof, decoder, () -> onAuthenticated()));
                opened.pipeline().addLast(new AnswerHandler());
              }
            });
  }

  private void onAuthenticated() {
    authenticated = true;
    backoffMillis = 0;
    lastReceivedNanos = System.nanoTime();
    List.copyOf(pendingCalls.values()).stream().filter(call -> !call.written).forEach(this::write);
  }

  private void onConnectionLost(Channel lostChannel, Throwable cause) {
    if (lostChannel != channel) {
      failAll(call -> call.channel == lostChannel, cause);
      return;
    }
    failAll(call -> call.channel == lostChannel || !call.written, cause);
    channel = null;
    authenticated = false;
    Duration min = settings.limits().minBackoff();
    Duration max = settings.limits().maxBackoff();
    backoffMillis = Math.min(max.toMillis(), Math.max(min.toMillis(), backoffMillis * 2));
    retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoffMillis);
  }

  private void failAll(Predicate<PendingCall> affected, Throwable cause) {
    List<PendingCall> affectedCalls = pendingCalls.values().stream().filter(affected).toList();
    pendingCalls.values().removeAll(affectedCalls);
    affectedCalls.forEach(call -> call.fail("the connection to " + address + " was lost", cause));
  }

  /** Matches answers with pending requests by correlation id; drops unmatched answers. */
  private final class AnswerHandler extends SimpleChannelInboundHandler<PeerEnvelope> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerEnvelope answer) {
      lastReceivedNanos = System.nanoTime();
      PendingCall call = answer.getAnswer() ? pendingCalls.remove(answer.getCorrelationId()) : null;
      if (call != null) {
        call.complete(answer);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onConnectionLost(context.channel(), null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      PeerLog.connectionClosed(context, cause);
      context.close();
    }
  }
}
