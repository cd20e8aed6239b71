package org.toucanrack.internal.protocol.message;

/** Ends the reading of a connection whose bytes are no valid message. */
public final class MalformedMessage extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates an error that a request is answered with {@code status} for. */
  public MalformedMessage(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** Returns the status that answers such a request. */
  public int status() {
    return status;
  }
}
