package org.toucanrack.id;

/**
 * Names a version of the software that backend servers of a service run.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record VersionId(String value) implements Comparable<VersionId> {

  /** Rejects values that are not valid names. */
  public VersionId {
    NameRule.check("backend server version", value);
  }

  @Override
  public int compareTo(VersionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
