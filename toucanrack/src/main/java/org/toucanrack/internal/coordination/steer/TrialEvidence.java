package org.toucanrack.internal.coordination.steer;

/**
 * Counts of the answers of the version on trial and of the previous version on one route.
 * Immutable.
 *
 * @param trial answers of the version on trial
 * @param stable answers of the previous version
 */
public record TrialEvidence(Tally trial, Tally stable) {

  /** No answers. */
  public static final TrialEvidence NONE = new TrialEvidence(Tally.NONE, Tally.NONE);

  /** Fewer failed answers are not significant. */
  private static final int MIN_FAILED_ANSWERS = 5;

  /** A version with a lower share of failed answers is not considered faulty. */
  private static final double MIN_FAILED_SHARE = 0.18;

  /**
   * The same for the answers of a few seconds, which come from few servers: a disturbance that
   * happens to hit those mostly stays below this share, a faulty version does not.
   */
  private static final double MIN_RECENT_FAILED_SHARE = 0.3;

  /** Fewer slow answers are not significant. */
  private static final int MIN_SLOW_ANSWERS = 8;

  /** Affinity misses on new servers are slow too, so only a majority counts. */
  private static final double MIN_SLOW_SHARE = 0.55;

  /** Ratio to the faults of the previous version that is still normal. */
  private static final double STABLE_FACTOR = 2;

  private static final double STABLE_SHARE_MARGIN = 0.1;

  /**
   * With fewer recent answers of the previous version, its recent share of faults is not
   * significant.
   */
  private static final int MIN_RECENT_STABLE_ANSWERS = 10;

  /** The outcome of an attempt. */
  public enum Result {
    GOOD,
    FAILED,
    SLOW
  }

  /**
   * Counts of answers.
   *
   * @param good answers in time
   * @param failed errors, invalid answers and missing answers
   * @param slow answers that were late or did not arrive before the timeout
   */
  public record Tally(int good, int failed, int slow) {

    static final Tally NONE = new Tally(0, 0, 0);

    Tally plus(Tally other) {
      return new Tally(good + other.good, failed + other.failed, slow + other.slow);
    }

    Tally minus(Tally other) {
      return new Tally(good - other.good, failed - other.failed, slow - other.slow);
    }

    private static Tally of(Result result) {
      return new Tally(
          result == Result.GOOD ? 1 : 0,
          result == Result.FAILED ? 1 : 0,
          result == Result.SLOW ? 1 : 0);
    }

    boolean isNegative() {
      return good < 0 || failed < 0 || slow < 0;
    }

    int total() {
      return good + failed + slow;
    }

    double share(int part) {
      return total() == 0 ? 0 : part / (double) total();
    }
  }

  /** Returns the sums of all counts. */
  public TrialEvidence plus(TrialEvidence other) {
    return new TrialEvidence(trial.plus(other.trial), stable.plus(other.stable));
  }

  /**
   * Returns whether the version on trial shows a fault since an earlier state that the previous
   * version shows neither since then nor overall.
   */
  public boolean showsFaultSince(TrialEvidence earlier) {
    Tally recentTrial = trial.minus(earlier.trial);
    Tally recentStable = stable.minus(earlier.stable);
    boolean comparable = recentStable.total() >= MIN_RECENT_STABLE_ANSWERS;
    return new TrialEvidence(recentTrial, stable).showsFault(MIN_RECENT_FAILED_SHARE)
        && (!comparable
            || new TrialEvidence(recentTrial, recentStable).showsFault(MIN_RECENT_FAILED_SHARE));
  }

  /** Returns the evidence of one attempt. */
  public static TrialEvidence of(boolean onTrial, Result result) {
    Tally one = Tally.of(result);
    return onTrial ? new TrialEvidence(one, Tally.NONE) : new TrialEvidence(Tally.NONE, one);
  }

  /** Returns whether the version on trial has significantly more faults than expected. */
  boolean showsFaultBeyond(ExpectedFaults.Shares expected) {
    return exceeds(trial.failed, expected.failed(), MIN_FAILED_ANSWERS, MIN_FAILED_SHARE)
        || exceeds(trial.slow, expected.slow(), MIN_SLOW_ANSWERS, MIN_SLOW_SHARE);
  }

  private boolean showsFault(double minFailedShare) {
    return exceeds(trial.failed, stable.share(stable.failed), MIN_FAILED_ANSWERS, minFailedShare)
        || exceeds(trial.slow, stable.share(stable.slow), MIN_SLOW_ANSWERS, MIN_SLOW_SHARE);
  }

  private boolean exceeds(int count, double expectedShare, int minCount, double minShare) {
    double share = trial.share(count);
    return count >= minCount
        && share >= minShare
        && share > STABLE_FACTOR * expectedShare + STABLE_SHARE_MARGIN;
  }
}
