package org.toucanrack.internal.transport.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.protocol.generated.Hello;
import org.toucanrack.internal.protocol.generated.HelloAnswer;
import org.toucanrack.internal.protocol.generated.MemberInfo;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.transport.peer.HandshakeProof.Role;

/**
 * Performs the connecting side of the handshake: answers the acceptor's challenge, checks its
 * proof, then removes itself from the pipeline. Confined to one I/O thread.
 */
final class ConnectorHandshake extends SimpleChannelInboundHandler<PeerEnvelope> {

  private final PeerSettings settings;
  private final HandshakeProof proof;
  private final EnvelopeDecoder decoder;
  private final Runnable onAuthenticated;
  private final MemberInfo self;
  private final ByteString nonce;
  private ByteString challenge;
  private Future<?> handshakeTimer;

  ConnectorHandshake(
      PeerSettings settings,
      HandshakeProof proof,
      EnvelopeDecoder decoder,
      Runnable onAuthenticated) {
    this.settings = settings;
    this.proof = proof;
    this.decoder = decoder;
    this.onAuthenticated = onAuthenticated;
    this.self = MemberInfoCodec.encode(settings.self());
    this.nonce = proof.newNonce();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    long timeoutMillis = settings.limits().handshakeTimeout().toMillis();
    handshakeTimer =
        context.executor().schedule(() -> context.close(), timeoutMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerEnvelope message) {
    HelloAnswer answer = message.getHelloAnswer();
    if (challenge == null) {
      challenge = answer.getNonce();
      context.writeAndFlush(PeerEnvelope.newBuilder().setHello(hello()).build());
    } else if (isProofValid(answer)) {
      handshakeTimer.cancel(false);
      decoder.setMaxMessageBytes(settings.limits().maxMessageBytes());
      context.pipeline().remove(this);
      onAuthenticated.run();
    } else {
      PeerLog.warn("Closed the connection to {0}: the peer failed authentication.", context);
      context.close();
    }
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setSender(self)
        .setNonce(nonce)
        .setProof(proof.computeProof(Role.CONNECTOR, self, challenge, nonce))
        .build();
  }

  private boolean isProofValid(HelloAnswer answer) {
    return answer.getNonce().equals(challenge)
        && proof.isValid(answer.getProof(), Role.ACCEPTOR, answer.getSender(), nonce, challenge);
  }
}
