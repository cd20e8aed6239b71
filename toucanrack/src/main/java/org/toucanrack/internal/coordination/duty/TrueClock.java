package org.toucanrack.internal.coordination.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;

/**
 * Estimates true time as the median of the times of day of all VMs that are heard, since the time
 * of day may step on some of them.
 *
 * <p>Each time of day is kept as its offset to this VM's monotonic clock, so that a step on this VM
 * changes one of the offsets only. After a suspension all other offsets are out of date, because
 * the monotonic clock does not count it; a suspension and a step look the same to this VM. After
 * either one the estimate stays as it was, and is unsettled until half of the other VMs are heard
 * again. Not thread-safe.
 */
public final class TrueClock {

  /** Larger than the change of the own offset by a clock that is slewed between two updates. */
  private static final long JUMP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Longest time for which the estimate is unsettled; two heartbeat intervals and a margin. */
  private static final long MAX_UNSETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

  /** Offsets of VMs that have not been heard for this long are dropped. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Map<VmId, Sample> samples = new HashMap<>();
  private long ownOffsetNanos;
  private long offsetNanos;
  private long jumpedNanos;
  private boolean settled = true;

  private record Sample(long offsetNanos, long heardNanos, boolean beforeJump) {}

  /** Creates a clock that trusts the own time of day until others are heard. */
  public TrueClock(long timeOfDayNanos, long monotonicNanos) {
    ownOffsetNanos = timeOfDayNanos - monotonicNanos;
    offsetNanos = ownOffsetNanos;
  }

  /** Records the time of day in another VM's heartbeat. */
  public void heard(VmId vm, long timeOfDayNanos, long monotonicNanos) {
    samples.put(vm, new Sample(timeOfDayNanos - monotonicNanos, monotonicNanos, false));
  }

  /** Updates the estimate; called several times a second. */
  public void update(long timeOfDayNanos, long monotonicNanos) {
    long newOffset = timeOfDayNanos - monotonicNanos;
    if (Math.abs(newOffset - ownOffsetNanos) > JUMP_NANOS && !samples.isEmpty()) {
      settled = false;
      jumpedNanos = monotonicNanos;
      samples.replaceAll(
          (vm, sample) -> new Sample(sample.offsetNanos(), sample.heardNanos(), true));
    }
    ownOffsetNanos = newOffset;
    samples.values().removeIf(sample -> monotonicNanos - sample.heardNanos() > EXPIRY_NANOS);
    if (!settled) {
      long heardAgain = samples.values().stream().filter(sample -> !sample.beforeJump()).count();
      settled =
          2 * heardAgain >= samples.size() || monotonicNanos - jumpedNanos > MAX_UNSETTLED_NANOS;
      if (settled) {
        samples.values().removeIf(Sample::beforeJump);
      }
    }
    if (settled) {
      offsetNanos = medianOffset();
    }
  }

  /** Returns the lower median, so that two VMs that hear each other agree. */
  private long medianOffset() {
    long[] offsets = new long[samples.size() + 1];
    int count = 0;
    for (Sample sample : samples.values()) {
      offsets[count++] = sample.offsetNanos();
    }
    offsets[count] = ownOffsetNanos;
    Arrays.sort(offsets);
    return offsets[(offsets.length - 1) / 2];
  }

  /** Returns the difference between true time since 1970 and the monotonic clock. */
  public long offsetNanos() {
    return offsetNanos;
  }

  /** Returns whether the estimate takes the last jump of the own clocks into account. */
  public boolean isSettled() {
    return settled;
  }
}
