package org.toucanrack.internal.transport.peer;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * A request that awaits its answer. Confined to the I/O thread of its connection, except for the
 * result.
 */
final class PendingCall {

  final long correlationId;
  final PeerEnvelope request;
  final CompletableFuture<PeerEnvelope> result = new CompletableFuture<>();
  Future<?> timer;
  Channel channel;
  boolean written;

  PendingCall(long correlationId, PeerEnvelope request) {
    this.correlationId = correlationId;
    this.request = request;
  }

  void complete(PeerEnvelope answer) {
    timer.cancel(false);
    result.complete(answer);
  }

  void fail(String message, Throwable cause) {
    timer.cancel(false);
    result.completeExceptionally(new PeerCallException(message, written, cause));
  }
}
