package org.toucanrack.id;

/**
 * Names a region.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Rejects an invalid name. */
  public RegionId {
    NameRule.check("region", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof RegionId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
