package org.toucanrack.id;

/**
 * Identifies one mutating call, so that its outcome can be found out after the answer was lost.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value unique for each call
 */
public record OperationId(String value) implements Comparable<OperationId> {

  /** Rejects an invalid name. */
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
