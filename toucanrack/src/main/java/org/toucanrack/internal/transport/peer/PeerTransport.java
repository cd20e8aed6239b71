package org.toucanrack.internal.transport.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/** Sends messages to other VMs and receives theirs. Thread-safe. */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a request and returns its answer. The stage completes exceptionally only with {@link
   * PeerCallException}. A request is sent at most once.
   *
   * @param address {@code ip:port} of the peer
   */
  CompletionStage<PeerEnvelope> request(String address, PeerEnvelope request, Duration timeout);

  /** Sends a one-way message; delivery is not guaranteed. */
  void send(String address, PeerEnvelope message);

  /** Registers the handler of a message type. Call before the transport listens. */
  void registerHandler(PeerEnvelope.BodyCase type, PeerHandler handler);

  @Override
  void close();

  /** Handles messages of one type. Called on an I/O thread; must not block. */
  interface PeerHandler {

    /** Returns the answer; for one-way messages, any completed stage. */
    CompletionStage<PeerEnvelope> handle(Incarnation sender, PeerEnvelope request);
  }
}
