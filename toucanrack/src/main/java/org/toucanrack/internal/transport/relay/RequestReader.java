package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import java.util.Optional;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;

/**
 * Reads the requests of one connection and reserves memory for them.
 *
 * <p>Invariant: all memory that the connection holds for requests is counted in the budget after
 * each {@link #reserve}, also if it does not fit. Confined to one event loop.
 */
final class RequestReader {

  private final MessageReader reader;
  private final RequestMemoryBudget budget;

  /** A request that was read and not taken yet, or null. */
  private HttpMessage next;

  private long reservedBytes;
  private boolean discarding;
  private boolean discarded;

  RequestReader(ListenerLimits limits, RequestMemoryBudget budget) {
    this.reader =
        new MessageReader(MessageReader.Kind.REQUEST, limits.maxHeadBytes(), limits.maxBodyBytes());
    this.budget = budget;
  }

  /** Appends received bytes; those behind a discarded body are ignored. */
  void feed(ByteBuf bytes) {
    if (!discarded) {
      reader.feed(bytes.array(), bytes.head(), bytes.readRemaining());
    }
  }

  /** Returns the next request without taking it, if it was received completely. */
  Optional<HttpMessage> peek() throws MalformedMessage {
    if (next == null) {
      next = reader.poll().orElse(null);
    }
    return Optional.ofNullable(next);
  }

  /** Returns whether the next request was read and not taken. */
  boolean hasNext() {
    return next != null;
  }

  /** Takes the request that {@link #peek} returned. */
  HttpMessage take() {
    HttpMessage taken = next;
    next = null;
    return taken;
  }

  /** Returns whether a part of a request was received. */
  boolean inRequest() {
    return reader.hasBufferedBytes();
  }

  /** Returns the memory in bytes that is held for requests that were not taken. */
  long heldBytes() {
    return reader.allocatedBytes() + (next == null ? 0 : next.memoryBytes());
  }

  /**
   * Reserves memory for all requests of the connection: those that were taken and those that were
   * received; for the next one also the rest of its body if no other is unanswered.
   *
   * @param takenBytes the memory of the requests that were taken and are not answered
   * @return whether there was enough; otherwise only what is held already is counted
   */
  boolean reserve(long takenBytes) {
    long heldBytes = takenBytes + heldBytes();
    long missingBytes = takenBytes == 0 ? reader.requiredBytes() - reader.allocatedBytes() : 0;
    boolean fits = budget.tryReserve(reservedBytes, heldBytes + missingBytes);
    if (fits) {
      reservedBytes = heldBytes + missingBytes;
    } else {
      budget.replace(reservedBytes, heldBytes);
      reservedBytes = heldBytes;
    }
    return fits;
  }

  void release() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  /** Returns the head of the request that is next, if it was received. */
  Optional<HttpMessage> nextHead() {
    return next == null ? reader.head() : Optional.of(next);
  }

  /**
   * Drops the next request, or what was received of it, with its memory; the rest of it is read and
   * ignored. No request is returned any more.
   */
  void startDiscarding() {
    discarding = true;
    if (next == null) {
      reader.discardBody();
    } else {
      next = null;
      discarded = true;
    }
    release();
  }

  /** Reads on a body that is dropped; returns whether its end was received. */
  boolean discardBody() throws MalformedMessage {
    discarded = discarded || reader.poll().isPresent();
    return discarded;
  }

  boolean isDiscarding() {
    return discarding;
  }

  /** Returns whether a body is dropped whose end was not received. */
  boolean awaitsEndOfDiscardedBody() {
    return discarding && !discarded;
  }
}
