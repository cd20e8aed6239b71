package org.toucanrack.internal.coordination.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.UsageReporting;

/**
 * What this VM knows of the holder of the duty: the highest fence, who has it, and when it last
 * gave a sign of life. Invariant: the highest fence never falls. Not thread-safe.
 */
public final class HolderSigns {

  /** Fences beyond this one are taken for malformed; they rise far less than once a second. */
  static final long MAX_FENCE = 1L << 52;

  /**
   * Time after the start in which a running holder is heard: one heartbeat interval and a margin. A
   * VM that has heard of no holder by then reads the row.
   */
  private static final long INTRODUCTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  private final VmId self;
  private final long silenceNanos;
  private final long leaseNanos;
  private final long startedNanos;
  private long ownDutyEndedNanos;
  private long signOfLifeNanos;
  private long highestFence;
  private VmId holder;

  /** Whether the holder announced the highest fence, and the latest heartbeat that counts. */
  private boolean holderHeard;

  private long heardIncarnation;
  private long heardSequence;

  /** Whether the holder has announced that it no longer holds the duty. */
  private boolean released;

  HolderSigns(VmId self, UsageReporting reporting, long nowNanos) {
    this.self = self;
    this.silenceNanos = reporting.takeoverSilence().toNanos();
    this.leaseNanos = reporting.lease().toNanos();
    this.startedNanos = nowNanos;
    this.ownDutyEndedNanos = nowNanos;
    this.signOfLifeNanos = nowNanos;
  }

  /**
   * The part of another VM's heartbeat that concerns the duty.
   *
   * @param vm the sender
   * @param incarnation the start of the sender
   * @param sequence the number of the heartbeat within that start
   * @param fence the fence with which the sender holds the duty, or 0
   */
  public record Heard(VmId vm, long incarnation, long sequence, long fence) {}

  /**
   * Records a heartbeat of another VM. A fence that is out of range, and a heartbeat of the holder
   * that is older than the latest one, are ignored.
   *
   * @return whether its fence is higher than any known before
   */
  boolean heard(Heard heard, long nowNanos) {
    boolean fromHolder = heard.vm().equals(holder);
    boolean late =
        fromHolder && heard.incarnation() == heardIncarnation && heard.sequence() < heardSequence;
    if (late || heard.fence() < 0 || heard.fence() > MAX_FENCE) {
      return false;
    }
    final boolean higher = learn(heard.vm(), heard.fence(), nowNanos);
    if (heard.fence() < highestFence || heard.fence() == 0) {
      released |= fromHolder && holderHeard;
      return false;
    }
    signOfLifeNanos = nowNanos;
    holder = heard.vm();
    holderHeard = true;
    released = false;
    heardIncarnation = heard.incarnation();
    heardSequence = heard.sequence();
    return higher;
  }

  /**
   * Records a fence that a row or a heartbeat names; returns whether it is higher than any known
   * before. A holder that is learned counts as alive, unless it is an earlier start of this VM.
   */
  boolean learn(VmId newHolder, long fence, long nowNanos) {
    if (fence <= highestFence) {
      return false;
    }
    highestFence = fence;
    holder = newHolder;
    holderHeard = false;
    heardSequence = 0;
    released = false;
    signOfLifeNanos = newHolder.equals(self) ? nowNanos - silenceNanos : nowNanos;
    return true;
  }

  /** Records that this VM no longer holds the duty; it then waits like any other VM. */
  void ownDutyEnded(long nowNanos) {
    signOfLifeNanos = nowNanos;
    ownDutyEndedNanos = nowNanos;
  }

  /**
   * Returns whether the holder has given no sign of life for the time after which it is replaced,
   * or has announced that it stopped, or none is known some time after the start. A VM that may
   * itself have held the duty lately waits for the silence in any case, since holders must not act
   * in the order A, B, A within the lease.
   */
  boolean isSilent(long extraNanos, long nowNanos) {
    boolean mayHaveHeld =
        nowNanos - Math.max(startedNanos, ownDutyEndedNanos) < silenceNanos + leaseNanos;
    long required = released && !mayHaveHeld ? 0 : silenceNanos;
    if (highestFence == 0) {
      required = Math.min(required, INTRODUCTION_NANOS);
    }
    return nowNanos - signOfLifeNanos >= required + extraNanos;
  }

  Optional<VmId> holder() {
    return Optional.ofNullable(holder);
  }

  long highestFence() {
    return highestFence;
  }

  boolean released() {
    return released;
  }
}
