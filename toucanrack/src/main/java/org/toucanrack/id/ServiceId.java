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

  @Override
  public String toString() {
    return value;
  }
}
