package org.toucanrack.steering;

/**
 * A period between two restores of the platform's store from a copy. Revisions are comparable
 * within one epoch only, since a restored store issues revisions again. Immutable and thread-safe.
 *
 * @param number rises with each restore; 0 if the store reports no epochs
 */
public record StoreEpoch(long number) implements Comparable<StoreEpoch> {

  /** The epoch of a store that reports none. */
  public static final StoreEpoch NONE = new StoreEpoch(0);

  /** Rejects negative numbers. */
  public StoreEpoch {
    if (number < 0) {
      throw new IllegalArgumentException("the epoch is " + number + ", but has to be at least 0");
    }
  }

  /** Returns whether this epoch is later than the other one. */
  public boolean isAfter(StoreEpoch other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(StoreEpoch other) {
    return Long.compare(number, other.number);
  }

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return other instanceof StoreEpoch epoch && number == epoch.number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
