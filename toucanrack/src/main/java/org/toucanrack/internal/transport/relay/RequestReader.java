package org.toucanrack.internal.transport.relay;

import io.activej.bytebuf.ByteBuf;
import java.util.Optional;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;

/**
 * Reads the requests of one connection and reserves memory for their bodies.
 *
 * <p>Invariant: at most one body is reserved at a time, that of the first request that is not
 * answered; it is reserved until {@link #releaseBody}. Confined to one event loop.
 */
final class RequestReader {

  private final MessageReader reader;
  private final RequestBodyBudget budget;

  /** A request that was read and not taken yet, or null. */
  private HttpMessage next;

  private long reservedBytes;
  private boolean discarding;
  private boolean discarded;

  RequestReader(ListenerLimits limits, RequestBodyBudget budget) {
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
  long allocatedBytes() {
    return reader.allocatedBytes() + (next == null ? 0 : next.body().length);
  }

  /** Reserves memory for the body that is being read; returns whether there was enough. */
  boolean reserveBody() {
    long bytes = reader.expectedBodyBytes();
    if (bytes <= reservedBytes) {
      return true;
    }
    boolean reserved = budget.tryReserve(reservedBytes, bytes);
    reservedBytes = reserved ? bytes : reservedBytes;
    return reserved;
  }

  void releaseBody() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }

  /** Drops the body that is being read, and its memory; no request is returned any more. */
  void startDiscarding() {
    discarding = true;
    reader.discardBody();
    releaseBody();
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
