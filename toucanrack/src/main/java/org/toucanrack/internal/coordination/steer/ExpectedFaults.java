package org.toucanrack.internal.coordination.steer;

import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Tally;

/**
 * How many faults a version on trial would have had on one route if it were as good as the version
 * before.
 *
 * <p>Faults are added up second by second, since a version on trial gets few requests at first and
 * most of them later: a disturbance of both versions late in the trial is a small part of all
 * answers of the version before, and a large part of those of the version on trial. Not
 * thread-safe.
 */
final class ExpectedFaults {

  /** Answers of the version before that tell its share of faults within an interval. */
  private static final int MIN_STABLE_ANSWERS = 10;

  /** Longest interval that waits for so many answers. */
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

  /** Starts to count at {@code nowNanos}. */
  ExpectedFaults(long nowNanos) {
    accountedNanos = nowNanos;
  }

  /** Learns the evidence so far and returns what is expected of the version on trial. */
  Shares update(TrialEvidence evidence, long nowNanos) {
    Tally trial = evidence.trial().minus(accounted.trial());
    Tally stable = evidence.stable().minus(accounted.stable());
    if (trial.isNegative() || stable.isNegative()) {
      // The counts of a VM that is not heard any more are gone: start again from the rest.
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
