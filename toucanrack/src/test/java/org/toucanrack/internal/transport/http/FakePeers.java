package org.toucanrack.internal.transport.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.transport.peer.PeerTransport;

/** Peer transport in the same process that records messages and answers with {@code responder}. */
final class FakePeers implements PeerTransport {

  final List<PeerEnvelope> requested = new CopyOnWriteArrayList<>();
  final List<PeerEnvelope> sent = new CopyOnWriteArrayList<>();
  final Map<PeerEnvelope.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
  volatile Function<PeerEnvelope, CompletionStage<PeerEnvelope>> responder =
      request -> new CompletableFuture<>();

  CompletionStage<PeerEnvelope> deliver(PeerEnvelope envelope) {
    return handlers
        .get(envelope.getBodyCase())
        .handle(new Incarnation(new VmId("other"), 1), envelope);
  }

  @Override
  public CompletionStage<PeerEnvelope> request(
      String address, PeerEnvelope request, Duration timeout) {
    requested.add(request);
    return responder.apply(request);
  }

  @Override
  public void send(String address, PeerEnvelope message) {
    sent.add(message);
  }

  @Override
  public void registerHandler(PeerEnvelope.BodyCase type, PeerHandler handler) {
    handlers.put(type, handler);
  }

  @Override
  public void close() {}
}
