package org.toucanrack.internal.protocol;

/**
 * Thrown when a request violates the framing rules. Has no stack trace, since callers can trigger
 * it.
 */
final class MalformedRequest extends Exception {

  private static final long serialVersionUID = 1L;

  private final FramingViolation violation;

  MalformedRequest(FramingViolation violation) {
    super(violation.message(), null, false, false);
    this.violation = violation;
  }

  FramingViolation violation() {
    return violation;
  }
}
