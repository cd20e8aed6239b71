package org.toucanrack.internal.coordination.steer;

import java.util.concurrent.TimeUnit;

/**
 * The share of a service's requests that this VM sends to other regions.
 *
 * <p>The share follows the pressure on the servers of the own region, and changes slowly, so that
 * the requests of a region do not change their place faster than allowed. Not thread-safe.
 */
public final class RegionOverflow {

  /** The part of the allowed change that is used; the rest is left to chance in small numbers. */
  private static final double USED_CHANGE_FRACTION = 0.6;

  private static final double SHIFT_WINDOW_SECONDS = 2;
  private static final double HIGH_PRESSURE = 0.85;
  private static final double LOW_PRESSURE = 0.6;

  /** Makes the choice of objects that leave independent of the choice of their servers. */
  private static final long OBJECT_HASH_SALT = 0x5deece66dL;

  private final double changePerSecond;
  private double share;
  private long updatedNanos;
  private boolean started;

  /**
   * Creates a share that may change by {@code maxShift} within two seconds.
   *
   * @param share the first share, for a region with fewer servers than its part of the requests
   */
  public RegionOverflow(double maxShift, double share) {
    this.share = share;
    this.changePerSecond = USED_CHANGE_FRACTION * maxShift / SHIFT_WINDOW_SECONDS;
  }

  /**
   * Adapts the share.
   *
   * @param pressure load of the own region's servers divided by their slots
   * @param fairShare the share at which the servers of all regions get as much for each slot
   */
  public void update(double pressure, double fairShare, long nowNanos) {
    if (!started) {
      started = true;
      updatedNanos = nowNanos;
      return;
    }
    double seconds = (nowNanos - updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    updatedNanos = nowNanos;
    double step = Math.min(seconds, 1) * changePerSecond;
    double target = pressure > HIGH_PRESSURE ? fairShare : pressure < LOW_PRESSURE ? 0 : share;
    share += Math.max(-step, Math.min(step, target - share));
  }

  /**
   * Returns whether requests about an object leave the region. While the share grows, objects that
   * already left stay away, so that their servers remember them.
   */
  public boolean overflows(long objectHash) {
    return StableHash.score(objectHash, OBJECT_HASH_SALT) / (double) Long.MAX_VALUE < share;
  }

  /** Returns the share of requests that leave the region. */
  public double share() {
    return share;
  }
}
