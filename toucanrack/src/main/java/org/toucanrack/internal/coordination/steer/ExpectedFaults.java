package org.toucanrack.internal.coordination.steer;

import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Tally;

/**
 * Estimates the faults that the version on trial would have had on one route if it were as good as
 * the previous version.
 *
 * <p>The estimate is accumulated over intervals of about one second, since the version on trial
 * gets few requests at first and most of them later. A disturbance of both versions late in the
 * trial is a small part of all answers of the previous version, but a large part of those of the
 * version on trial. Not thread-safe.
 */
final class ExpectedFaults {

  /**
   * Answers of the previous version from which its share of faults within an interval is computed.
   */
  private static final int MIN_STABLE_ANSWERS = 10;

  /** Longest interval; it ends earlier once it has enough answers. */
  private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private TrialEvidence accounted = TrialEvidence.NONE;
  private long accountedNanos;
  private double failed;
  private double slow;

  /**
   * Expected shares of all answers of the version on trial.
   *
   * @param failed share of failed answers, from 0 to 1
   * @param slow share of slow answers, from 0 to 1
   */
  record Shares(double failed, double slow) {}

  ExpectedFaults(long nowNanos) {
    accountedNanos = nowNanos;
  }

  /**
   * Adds the cumulative evidence so far and returns the shares expected of the version on trial.
   */
  Shares update(TrialEvidence evidence, long nowNanos) {
    Tally trial = evidence.trial().minus(accounted.trial());
    Tally stable = evidence.stable().minus(accounted.stable());
    if (trial.isNegative() || stable.isNegative()) {
      // The counts of an expired member are gone, so the totals decreased: restart from the
      // remaining ones.
      accounted = evidence;
      accountedNanos = nowNanos;
      failed = evidence.stable().share(evidence.stable().failed()) * evidence.trial().total();
      slow = evidence.stable().share(evidence.stable().slow()) * evidence.trial().total();
      return shares(evidence.trial(), failed, slow);
    }
    Tally reference = stable.total() >= MIN_STABLE_ANSWERS ? stable : evidence.stable();
    double expectedFailed = failed + reference.share(reference.failed()) * trial.total();
    double expectedSlow = slow + reference.share(reference.slow()) * trial.total();
    if (stable.total() >= MIN_STABLE_ANSWERS || nowNanos - accountedNanos >= MAX_INTERVAL_NANOS) {
      accounted = evidence;
      accountedNanos = nowNanos;
      failed = expectedFailed;
      slow = expectedSlow;
    }
    return shares(evidence.trial(), expectedFailed, expectedSlow);
  }

  private static Shares shares(Tally trial, double failed, double slow) {
    int answers = Math.max(1, trial.total());
    return new Shares(failed / answers, slow / answers);
  }
}
