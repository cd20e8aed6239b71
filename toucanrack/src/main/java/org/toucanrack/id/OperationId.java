package org.toucanrack.id;

/**
 * Identifies one mutating call, so that a lost answer can be resolved.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record OperationId(String value) implements Comparable<OperationId> {

  /** Rejects values that are not valid names. */
  public OperationId {
    NameRule.check("operation", value);
  }

  @Override
  public int compareTo(OperationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
