package org.toucanrack.id;

/**
 * Names a customer.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  /** Rejects an invalid name. */
  public CustomerId {
    NameRule.check("customer", value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof CustomerId id && value.equals(id.value);
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
