package org.toucanrack.id;

/**
 * Names a planned move of traffic.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record MoveId(String value) implements Comparable<MoveId> {

  /** Rejects values that are not valid names. */
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
