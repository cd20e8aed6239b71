package org.toucanrack.internal.protocol.message;

import java.util.Objects;

/**
 * A message as it is sent, with a body that is not copied behind its head. Thread-safe as long as
 * the arrays are not modified.
 *
 * @param head the start line and the header fields, with the empty line behind them
 * @param body the body; may be empty
 */
public record EncodedMessage(byte[] head, byte[] body) {

  /** Rejects null components. */
  public EncodedMessage {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the size of the message in bytes. */
  public long length() {
    return (long) head.length + body.length;
  }
}
