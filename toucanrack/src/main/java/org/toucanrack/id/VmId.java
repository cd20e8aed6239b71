package org.toucanrack.id;

/**
 * Names a VM that runs one entry process.
 *
 * <p>Invariant: the value satisfies {@link NameRule}. Immutable and thread-safe.
 *
 * @param value the name, as given in the settings of the VM
 */
public record VmId(String value) implements Comparable<VmId> {

  /** Rejects an invalid name. */
  public VmId {
    NameRule.check("VM", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof VmId id && value.equals(id.value);
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
