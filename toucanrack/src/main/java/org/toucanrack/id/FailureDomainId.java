package org.toucanrack.id;

/**
 * Names a failure domain.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Rejects an invalid name. */
  public FailureDomainId {
    NameRule.check("failure domain", value);
  }

  @Override
  public int compareTo(FailureDomainId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof FailureDomainId id && value.equals(id.value);
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
