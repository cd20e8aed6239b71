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
 * Accepting end of one connection: authenticates the connector, then passes its messages to the
 * handlers. Confined to one I/O thread.
 */
final class InboundPeer extends SimpleChannelInboundHandler<PeerEnvelope> {

  private final PeerSettings settings;
  private final HandshakeProof proof;
  private final Map<PeerEnvelope.BodyCase, PeerTransport.PeerHandler> handlers;
  private final EnvelopeDecoder decoder;
  private final MemberInfo self;
  private final ByteString nonce;
  private Incarnation sender;
  private int unansweredRequests;
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
    this.self = MemberInfoCodec.encode(settings.self());
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
      PeerLog.warn("Closed the connection from {0}: the peer failed authentication.", context);
      context.close();
      return;
    }
    sender = MemberInfoCodec.decode(hello.getSender()).incarnation();
    handshakeTimer.cancel(false);
    decoder.setMaxMessageBytes(settings.limits().maxMessageBytes());
    HelloAnswer answer =
        HelloAnswer.newBuilder()
            .setSender(self)
            .setNonce(nonce)
            .setProof(proof.computeProof(Role.ACCEPTOR, self, hello.getNonce(), nonce))
            .build();
    context.writeAndFlush(PeerEnvelope.newBuilder().setHelloAnswer(answer).build());
  }

  private void dispatch(ChannelHandlerContext context, PeerEnvelope message) {
    PeerTransport.PeerHandler handler = handlers.get(message.getBodyCase());
    if (handler == null) {
      return;
    }
    boolean isRequest = message.getCorrelationId() != 0;
    updateUnanswered(context, isRequest ? 1 : 0);
    CompletionStage<PeerEnvelope> stage = invoke(handler, message);
    if (isRequest) {
      stage.whenComplete(
          (answer, failure) ->
              context.executor().execute(() -> writeAnswer(context, message, answer, failure)));
    }
  }

  private CompletionStage<PeerEnvelope> invoke(
      PeerTransport.PeerHandler handler, PeerEnvelope message) {
    try {
      return handler.handle(sender, message);
    } catch (RuntimeException e) {
      PeerLog.warn("The handler of " + message.getBodyCase() + " messages failed.", e);
      return java.util.concurrent.CompletableFuture.failedStage(e);
    }
  }

  private void writeAnswer(
      ChannelHandlerContext context, PeerEnvelope request, PeerEnvelope answer, Throwable failure) {
    updateUnanswered(context, -1);
    if (failure == null && answer != null) {
      PeerEnvelope.Builder envelope =
          answer.toBuilder().setCorrelationId(request.getCorrelationId()).setAnswer(true);
      context.writeAndFlush(envelope.build());
    }
  }

  /** Updates the number of unanswered requests; reading stops while there are too many. */
  private void updateUnanswered(ChannelHandlerContext context, int change) {
    unansweredRequests += change;
    boolean autoRead = unansweredRequests < settings.limits().maxOutstanding();
    if (context.channel().config().isAutoRead() != autoRead) {
      context.channel().config().setAutoRead(autoRead);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    PeerLog.connectionClosed(context, cause);
    context.close();
  }
}
