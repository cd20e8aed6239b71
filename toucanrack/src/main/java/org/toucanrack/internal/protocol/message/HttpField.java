package org.toucanrack.internal.protocol.message;

import java.util.Objects;

/**
 * One header field. Immutable and thread-safe.
 *
 * @param name the name as received
 * @param value the value without surrounding white space
 */
public record HttpField(String name, String value) {

  /** Rejects null components. */
  public HttpField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }

  /** Returns whether the field has this name; case is ignored. */
  public boolean isNamed(String other) {
    return name.equalsIgnoreCase(other);
  }
}
