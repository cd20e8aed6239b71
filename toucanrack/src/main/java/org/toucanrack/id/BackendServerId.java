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

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof BackendServerId id && value.equals(id.value);
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
