package org.toucanrack.internal.transport.peer;

/** A request to a peer that has no answer. */
public final class PeerCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean written;

  /** Creates an exception; {@code written} is whether any byte may have reached the peer. */
  public PeerCallException(String message, boolean written, Throwable cause) {
    super(message, cause);
    this.written = written;
  }

  /** Returns whether the peer may have received the request. */
  public boolean written() {
    return written;
  }
}
