package org.toucanrack.id;

/**
 * Names a backend server.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /** Rejects values that are not valid names. */
  public BackendServerId {
    NameRule.check("backend server", value);
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
