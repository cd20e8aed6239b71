package org.toucanrack.internal.coordination.duty;

/**
 * A moment by the clocks of one VM. Immutable and thread-safe.
 *
 * @param monotonicNanos the monotonic clock, which may not count a suspension of the VM
 * @param timeOfDayNanos the VM's own time of day, which counts it but may step
 * @param trueNanos the estimated true time since 1970
 * @param trueTimeSettled whether the estimate can be relied on
 */
public record Moment(
    long monotonicNanos, long timeOfDayNanos, long trueNanos, boolean trueTimeSettled) {

  /** Returns whether an earlier moment is at most this long ago by both of the VM's own clocks. */
  boolean isWithin(long nanos, Moment earlier) {
    long timeOfDayElapsed = timeOfDayNanos - earlier.timeOfDayNanos;
    return monotonicNanos - earlier.monotonicNanos <= nanos
        && timeOfDayElapsed >= -nanos
        && timeOfDayElapsed <= nanos;
  }

  /** Returns whether the VM's own clocks ran alike since an earlier moment, up to a difference. */
  boolean ranAlikeSince(Moment earlier, long maxDifferenceNanos) {
    long difference =
        (timeOfDayNanos - earlier.timeOfDayNanos) - (monotonicNanos - earlier.monotonicNanos);
    return Math.abs(difference) <= maxDifferenceNanos;
  }
}
