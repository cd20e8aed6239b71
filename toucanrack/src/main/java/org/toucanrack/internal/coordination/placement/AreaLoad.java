package org.toucanrack.internal.coordination.placement;

/**
 * The servers of a service in a failure domain or in several of them.
 *
 * @param servers number of servers
 * @param slots requests that they run concurrently
 * @param load requests that they run or have queued
 */
public record AreaLoad(int servers, double slots, double load) {

  /** Rejects negative values. */
  public AreaLoad {
    if (servers < 0 || !(slots >= 0) || !(load >= 0)) {
      throw new IllegalArgumentException(
          "servers, slots and load are " + servers + ", " + slots + " and " + load);
    }
  }

  /** Returns the load divided by the slots. */
  public double perSlot() {
    return load / Math.max(1, slots);
  }
}
