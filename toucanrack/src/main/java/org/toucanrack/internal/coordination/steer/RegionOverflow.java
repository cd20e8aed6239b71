package org.toucanrack.internal.coordination.steer;

import java.util.concurrent.TimeUnit;

/**
 * The share of a service's requests that this VM sends to other regions.
 *
 * <p>The share follows the load of the servers in the own region. It changes slowly, so that the
 * requests of a region don't move faster than allowed. Not thread-safe.
 */
public final class RegionOverflow {

  /**
   * Fraction of the allowed change that is used; the rest is a margin for random deviations of
   * small counts.
   */
  private static final double USED_CHANGE_FRACTION = 0.6;

  private static final double SHIFT_WINDOW_SECONDS = 2;

  /** Above this load the region is overloaded, and the share moves towards the fair one. */
  private static final double OVERLOADED_LOAD_PER_SLOT = 0.85;

  /**
   * Below this load the region has spare capacity, and the share shrinks; between both it stays.
   */
  private static final double SPARE_LOAD_PER_SLOT = 0.6;

  /**
   * Makes the selection of the objects that overflow independent of the servers' rendezvous scores.
   */
  private static final long OBJECT_HASH_SALT = 0x5deece66dL;

  private final double changePerSecond;
  private double share;
  private long updatedNanos;
  private boolean started;

  /**
   * Creates a share that changes by at most {@code maxShift} within two seconds.
   *
   * @param share the initial share; above 0 in a region with fewer servers than its part of the
   *     requests
   */
  public RegionOverflow(double maxShift, double share) {
    this.share = share;
    this.changePerSecond = USED_CHANGE_FRACTION * maxShift / SHIFT_WINDOW_SECONDS;
  }

  /**
   * Moves the share towards the fair one while the region is overloaded, and towards 0 while it has
   * spare capacity.
   *
   * @param loadPerSlot load of the servers in the own region, divided by their slots
   * @param fairShare the share at which the servers of all regions get equally many requests per
   *     slot
   */
  public void update(double loadPerSlot, double fairShare, long nowNanos) {
    if (!started) {
      started = true;
      updatedNanos = nowNanos;
      return;
    }
    double seconds = (nowNanos - updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    updatedNanos = nowNanos;
    double step = Math.min(seconds, 1) * changePerSecond;
    double target =
        loadPerSlot > OVERLOADED_LOAD_PER_SLOT
            ? fairShare
            : loadPerSlot < SPARE_LOAD_PER_SLOT ? 0 : share;
    share += Math.max(-step, Math.min(step, target - share));
  }

  /**
   * Returns whether requests about an object go to other regions. An object that overflows
   * continues to do so while the share grows, so that it stays with the servers that have it in
   * their caches.
   */
  public boolean overflows(long objectHash) {
    return StableHash.score(objectHash, OBJECT_HASH_SALT) / (double) Long.MAX_VALUE < share;
  }

  /** Returns the share of requests that go to other regions, from 0 to 1. */
  public double share() {
    return share;
  }
}
