package org.toucanrack.internal.coordination.steer;

/**
 * Detects a queue that does not drain. Not thread-safe.
 *
 * <p>A queue that absorbs a short burst lets every request be answered. A queue that stays long
 * serves no more requests than a short one, and makes all of them late.
 */
final class StandingQueue {

  /** The queue has drained when the wait is below this fraction of the target. */
  private static final double DRAINED_FRACTION = 0.5;

  private boolean aboveTarget;
  private boolean standing;
  private long aboveTargetSinceNanos;

  /**
   * Updates the state.
   *
   * @param waitNanos the wait of a request that arrives now
   * @param targetNanos the longest wait with which requests are still answered in time
   * @param burstNanos the longest time for which the wait may exceed the target
   * @return whether the queue is standing
   */
  boolean update(double waitNanos, double targetNanos, long burstNanos, long nowNanos) {
    if (waitNanos <= targetNanos) {
      aboveTarget = false;
      standing &= waitNanos > DRAINED_FRACTION * targetNanos;
    } else if (!aboveTarget) {
      aboveTarget = true;
      aboveTargetSinceNanos = nowNanos;
    }
    standing |= aboveTarget && nowNanos - aboveTargetSinceNanos >= burstNanos;
    return standing;
  }
}
