package org.toucanrack.internal.transport.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.Hello;
import org.toucanrack.internal.protocol.generated.HelloAnswer;
import org.toucanrack.internal.protocol.generated.MemberInfo;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.transport.peer.HandshakeProof.Role;

/**
 * The accepting end of one connection: challenges the connector, then passes its messages to the
 * handlers. Used by one I/O thread.
 */
final class InboundPeer extends SimpleChannelInboundHandler<PeerEnvelope> {

  private final PeerSettings settings;
  private final HandshakeProof proof;
  private final Map<PeerEnvelope.BodyCase, PeerTransport.PeerHandler> handlers;
  private final EnvelopeDecoder decoder;
  private final MemberInfo self;
  private final ByteString nonce;
  private Incarnation sender;
  private int unanswered;
  private Future<?> handshakeTimer;

  InboundPeer(
      PeerSettings settings,
      HandshakeProof proof,
      Map<PeerEnvelope.BodyCase, PeerTransport.PeerHandler> handlers,
      EnvelopeDecoder decoder) {
    this.settings = settings;
    this.proof = proof;
    this.handlers = handlers;
    this.decoder = decoder;
    this.self = MemberInfos.encode(settings.self());
    this.nonce = proof.newNonce();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    handshakeTimer =
        context
            .executor()
            .schedule(
                () -> context.close(),
                settings.limits().handshakeTimeout().toMillis(),
                TimeUnit.MILLISECONDS);
    HelloAnswer challenge = HelloAnswer.newBuilder().setSender(self).setNonce(nonce).build();
    context.writeAndFlush(PeerEnvelope.newBuilder().setHelloAnswer(challenge).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerEnvelope message) {
    if (sender == null) {
      authenticate(context, message);
    } else {
      dispatch(context, message);
    }
  }

  private void authenticate(ChannelHandlerContext context, PeerEnvelope message) {
    Hello hello = message.getHello();
    boolean valid =
        message.hasHello()
            && proof.isValid(
                hello.getProof(), Role.CONNECTOR, hello.getSender(), nonce, hello.getNonce());
    if (!valid) {
      PeerLog.warn("A connection from {0} failed authentication.", context);
      context.close();
      return;
    }
    sender = MemberInfos.decode(hello.getSender()).incarnation();
    handshakeTimer.cancel(false);
    decoder.raiseLimit(settings.limits().maxMessageBytes());
    HelloAnswer answer =
        HelloAnswer.newBuilder()
            .setSender(self)
            .setNonce(nonce)
            .setProof(proof.prove(Role.ACCEPTOR, self, hello.getNonce(), nonce))
            .build();
    context.writeAndFlush(PeerEnvelope.newBuilder().setHelloAnswer(answer).build());
  }

  private void dispatch(ChannelHandlerContext context, PeerEnvelope message) {
    PeerTransport.PeerHandler handler = handlers.get(message.getBodyCase());
    if (handler == null) {
      return;
    }
    boolean request = message.getCorrelationId() != 0;
    countUnanswered(context, request ? 1 : 0);
    CompletionStage<PeerEnvelope> stage = invoke(handler, message);
    if (request) {
      stage.whenComplete(
          (answer, failure) ->
              context.executor().execute(() -> answer(context, message, answer, failure)));
    }
  }

  private CompletionStage<PeerEnvelope> invoke(
      PeerTransport.PeerHandler handler, PeerEnvelope message) {
    try {
      return handler.handle(sender, message);
    } catch (RuntimeException e) {
      PeerLog.warn("The handler of " + message.getBodyCase() + " failed.", e);
      return java.util.concurrent.CompletableFuture.failedStage(e);
    }
  }

  private void answer(
      ChannelHandlerContext context, PeerEnvelope request, PeerEnvelope answer, Throwable failure) {
    countUnanswered(context, -1);
    if (failure == null && answer != null) {
      PeerEnvelope.Builder envelope =
          answer.toBuilder().setCorrelationId(request.getCorrelationId()).setAnswer(true);
      context.writeAndFlush(envelope.build());
    }
  }

  /** Stops reading while too many requests of this peer are unanswered. */
  private void countUnanswered(ChannelHandlerContext context, int change) {
    unanswered += change;
    boolean read = unanswered < settings.limits().maxOutstanding();
    if (context.channel().config().isAutoRead() != read) {
      context.channel().config().setAutoRead(read);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    PeerLog.closed(context, cause);
    context.close();
  }
}
