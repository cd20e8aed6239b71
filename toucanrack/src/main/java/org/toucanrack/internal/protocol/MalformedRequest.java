package org.toucanrack.internal.protocol;

/** Ends the parsing of a request head. */
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
