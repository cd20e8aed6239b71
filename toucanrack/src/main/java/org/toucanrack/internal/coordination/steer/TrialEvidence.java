package org.toucanrack.internal.coordination.steer;

/**
 * Answers of a version on trial and of the version before it, on one route. Immutable.
 *
 * @param trialGood good answers of the version on trial
 * @param trialBad failed answers of the version on trial
 * @param stableGood good answers of the version before
 * @param stableBad failed answers of the version before
 */
public record TrialEvidence(int trialGood, int trialBad, int stableGood, int stableBad) {

  /** No answer was seen. */
  public static final TrialEvidence NONE = new TrialEvidence(0, 0, 0, 0);

  /** Failed answers below which nothing is concluded. */
  private static final int MIN_BAD = 5;

  /** Share of failed answers below which a version is not called faulty. */
  private static final double MIN_BAD_SHARE = 0.15;

  /** How many times the failures of the version before are still normal. */
  private static final double STABLE_FACTOR = 2.5;

  private static final double STABLE_MARGIN = 0.08;

  /** Returns the sum of both. */
  public TrialEvidence plus(TrialEvidence other) {
    return new TrialEvidence(
        trialGood + other.trialGood,
        trialBad + other.trialBad,
        stableGood + other.stableGood,
        stableBad + other.stableBad);
  }

  /** Returns what was added since an earlier state. */
  public TrialEvidence since(TrialEvidence earlier) {
    return new TrialEvidence(
        trialGood - earlier.trialGood,
        trialBad - earlier.trialBad,
        stableGood - earlier.stableGood,
        stableBad - earlier.stableBad);
  }

  /** Counts one answer. */
  public TrialEvidence count(boolean onTrial, boolean good) {
    return new TrialEvidence(
        trialGood + (onTrial && good ? 1 : 0),
        trialBad + (onTrial && !good ? 1 : 0),
        stableGood + (!onTrial && good ? 1 : 0),
        stableBad + (!onTrial && !good ? 1 : 0));
  }

  /** Returns whether the version on trial fails much more often than the one before. */
  public boolean showsFault() {
    if (trialBad < MIN_BAD) {
      return false;
    }
    double bad = trialBad / (double) (trialBad + trialGood);
    int stable = stableGood + stableBad;
    double usual = stable <= 0 ? 0 : stableBad / (double) stable;
    return bad >= MIN_BAD_SHARE && bad > STABLE_FACTOR * usual + STABLE_MARGIN;
  }
}
