package org.toucanrack.internal.protocol.message;

/**
 * Thrown when the bytes of a connection are not a valid message. Has no stack trace, since peers
 * can trigger it.
 */
public final class MalformedMessage extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates an exception; {@code status} is the status code with which to answer a request. */
  public MalformedMessage(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** Returns the status code with which to answer a malformed request. */
  public int status() {
    return status;
  }
}
