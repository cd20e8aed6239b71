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

  @Override
  public String toString() {
    return value;
  }
}
