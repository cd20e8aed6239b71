package org.toucanrack.id;

/**
 * Names a planned move of traffic.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name given by the operator
 */
public record MoveId(String value) implements Comparable<MoveId> {

  /** Rejects an invalid name. */
  public MoveId {
    NameRule.check("move", value);
  }

  @Override
  public int compareTo(MoveId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
