package org.toucanrack.internal.transport.peer;

/** Thrown when a request to a peer ends without an answer. */
public final class PeerCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean written;

  /** Creates an exception; {@code written} tells whether the peer may have received the request. */
  public PeerCallException(String message, boolean written, Throwable cause) {
    super(message, cause);
    this.written = written;
  }

  /** Returns whether the peer may have received the request. */
  public boolean written() {
    return written;
  }
}
