package org.toucanrack.internal.coordination.placement;

import java.util.concurrent.TimeUnit;

/**
 * The share of a service's requests that this VM sends to servers outside its own area, which is a
 * region or a failure domain.
 *
 * <p>The share follows the load of the servers in the own area. It changes slowly, so that the
 * requests of an area don't move faster than allowed. Not thread-safe.
 */
public final class OverflowShare {

  /**
   * Fraction of the allowed change that is used; the rest is a margin for random deviations of
   * small counts.
   */
  private static final double USED_CHANGE_FRACTION = 0.6;

  private static final double SHIFT_WINDOW_SECONDS = 2;

  /** Above this load the area is overloaded, and the share moves towards the fair one. */
  private static final double OVERLOADED_LOAD_PER_SLOT = 0.85;

  /** Below this load the area has spare capacity, and the share shrinks; between both it stays. */
  private static final double SPARE_LOAD_PER_SLOT = 0.6;

  private final double changePerSecond;
  private double share;
  private long updatedNanos;
  private boolean started;

  /**
   * Creates a share that changes by at most {@code maxShift} within two seconds.
   *
   * @param share the initial share; above 0 in an area with fewer servers than its part of the
   *     requests
   */
  public OverflowShare(double maxShift, double share) {
    this.share = share;
    this.changePerSecond = USED_CHANGE_FRACTION * maxShift / SHIFT_WINDOW_SECONDS;
  }

  /**
   * Moves the share towards the fair one while the area is overloaded, and towards 0 while it has
   * spare capacity.
   *
   * @param loadPerSlot load of the servers in the own area, divided by their slots
   * @param fairShare the share at which the servers of all areas get equally many requests per slot
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
   * Returns whether requests about an object leave the own area. An object that overflows continues
   * to do so while the share grows, so that it stays with the servers that have it in their caches.
   *
   * @param objectRank the rank of the object among all objects, from 0 to 1, which never changes
   */
  public boolean overflows(double objectRank) {
    return objectRank < share;
  }

  /** Returns the share of requests that leave the own area, from 0 to 1. */
  public double share() {
    return share;
  }
}
