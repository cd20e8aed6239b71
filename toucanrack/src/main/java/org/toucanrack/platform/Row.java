package org.toucanrack.platform;

import java.util.Objects;

/**
 * One row of the table service. Immutable and thread-safe.
 *
 * @param key the key
 * @param value the value, as JSON text
 * @param version increases with each write of the row; at least 1
 */
public record Row(String key, String value, long version) {

  /** Rejects missing parts. */
  public Row {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
    if (version < 1) {
      throw new IllegalArgumentException("row version must be at least 1, was " + version);
    }
  }
}
