package org.toucanrack.id;

/**
 * Identifies one run of the entry process of a VM. Each restart is a new incarnation.
 *
 * <p>Invariant: the number is positive. Immutable and thread-safe.
 *
 * @param vm the VM
 * @param number chosen at random at each start, so that nothing has to be stored
 */
public record Incarnation(VmId vm, long number) {

  /** Rejects numbers that are not positive. */
  public Incarnation {
    if (number <= 0) {
      throw new IllegalArgumentException("incarnation number must be positive, was " + number);
    }
  }

  @Override
  public String toString() {
    return vm + "/" + Long.toHexString(number);
  }
}
