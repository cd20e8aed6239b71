package org.toucanrack.id;

/**
 * Names a backend server.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /** Rejects an invalid name. */
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
