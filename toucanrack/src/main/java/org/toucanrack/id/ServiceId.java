package org.toucanrack.id;

/**
 * Names a hosted service.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Rejects an invalid name. */
  public ServiceId {
    NameRule.check("service", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceId id && value.equals(id.value);
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
