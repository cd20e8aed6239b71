package org.toucanrack.internal.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how long work takes on the machine of a backend server, from the paces that it reports
 * in its answers. 1 is the usual pace; at pace 2, work takes twice as long.
 *
 * <p>Load pattern: machines that become slow for about 600 ms at a time, while the server's own
 * work stays the same. A report says little about the time after the spell, so its weight falls
 * with its age, and the expected delay is bounded by the rest of the spell. Without reports, all
 * methods return what they were given. Not thread-safe.
 */
public final class MachinePace {

  /** Usual length of a slow spell. */
  private static final double SPELL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private boolean known;
  private double lostFraction;
  private long reportedNanos;
  private double lostNanos;

  /**
   * Records a reported pace.
   *
   * @param pace a positive number
   */
  public void record(double pace, long nowNanos) {
    double newLostFraction = 1 - 1 / pace;
    if (known) {
      lostNanos += (lostFraction + newLostFraction) / 2 * coveredNanos(nowNanos);
    }
    known = true;
    lostFraction = newLostFraction;
    reportedNanos = nowNanos;
  }

  /**
   * Returns the expected duration of work that starts now.
   *
   * @param usualNanos its duration at the usual pace
   */
  public double durationNanos(double usualNanos, long nowNanos) {
    if (lostFraction == 0) {
      return usualNanos;
    }
    // A report meets a spell at a random moment, so that a spell goes on for the age of the report
    // with the probability 1 - age / length, and then half of the rest of its length on average.
    double rest = Math.max(0, 1 - (nowNanos - reportedNanos) / SPELL_NANOS);
    double restOfSpellNanos = SPELL_NANOS / 2 * rest * rest;
    double delayWithinSpell = usualNanos * lostFraction / (1 - lostFraction);
    double delayOfWholeRest = restOfSpellNanos * lostFraction;
    return usualNanos
        + (lostFraction > 0
            ? Math.min(delayWithinSpell, delayOfWholeRest)
            : Math.max(delayWithinSpell, delayOfWholeRest));
  }

  /**
   * Returns the time lost to the pace since some fixed moment; the difference of two results is the
   * time lost between them. Negative where the machine was faster than usual.
   */
  public double lostNanos(long nowNanos) {
    return lostNanos + lostFraction / 2 * coveredNanos(nowNanos);
  }

  /** Returns the part of the time since the last report for which it says something. */
  private double coveredNanos(long nowNanos) {
    return Math.min(SPELL_NANOS, Math.max(0, nowNanos - reportedNanos));
  }
}
