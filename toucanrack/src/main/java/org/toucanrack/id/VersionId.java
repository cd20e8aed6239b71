package org.toucanrack.id;

/**
 * Names a software version of the backend servers of a service.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record VersionId(String value) implements Comparable<VersionId> {

  /** Rejects an invalid name. */
  public VersionId {
    NameRule.check("backend server version", value);
  }

  @Override
  public int compareTo(VersionId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof VersionId id && value.equals(id.value);
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
