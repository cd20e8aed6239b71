package org.toucanrack.internal.transport.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/** Sends messages to other VMs and receives theirs. Thread-safe. */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a request and returns its answer. Completes exceptionally only with {@link
   * PeerCallException}. A request is never sent twice.
   *
   * @param address {@code ip:port} of the peer
   */
  CompletionStage<PeerEnvelope> request(String address, PeerEnvelope request, Duration timeout);

  /** Sends a message without answer; it may be lost. */
  void send(String address, PeerEnvelope message);

  /** Sets the handler of one type of message. Call before {@code listen}. */
  void registerHandler(PeerEnvelope.BodyCase type, PeerHandler handler);

  @Override
  void close();

  /** Handles one type of message. Called on an I/O thread; must not block. */
  interface PeerHandler {

    /** Returns the answer; for one-way messages, any completed stage. */
    CompletionStage<PeerEnvelope> handle(Incarnation sender, PeerEnvelope request);
  }
}
