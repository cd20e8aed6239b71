package org.toucanrack.id;

/**
 * Names a VM that runs one entry process.
 *
 * <p>Invariant: the value is a valid name as checked by {@link NameRule}. Immutable and
 * thread-safe.
 *
 * @param value the name, as written in the configuration
 */
public record VmId(String value) implements Comparable<VmId> {

  /** Rejects values that are not valid names. */
  public VmId {
    NameRule.check("VM", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
