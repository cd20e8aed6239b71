package org.toucanrack.id;

/**
 * Names a hosted service.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Rejects values that are not valid names. */
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
