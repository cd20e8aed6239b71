package org.toucanrack;

import java.util.Objects;

/**
 * Reports an error with a stable code and a message that says what happened and how to proceed.
 * Unchecked.
 *
 * <pre>{@code
 * throw new ToucanrackException(
 *     ErrorCode.CONFLICT,
 *     "Version 7 is no longer current. Run 'toucanrack plan' and apply again.");
 * }</pre>
 */
public final class ToucanrackException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /** Creates an exception without cause. */
  public ToucanrackException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /** Creates an exception with a cause. */
  public ToucanrackException(ErrorCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code, "code");
  }

  /** Returns the stable code. */
  public ErrorCode code() {
    return code;
  }
}
