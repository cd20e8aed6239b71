package org.toucanrack.internal.coordination.rollout;

/**
 * An e-process that tests whether bad events (errors or slow answers) are more frequent on the
 * candidate than on the current version.
 *
 * <p>If the event rate of the candidate is at most {@link #TOLERATED_RATIO} times that of the
 * current version over the same period, the probability that an event comes from the candidate is
 * bounded by a function of its fraction of the requests. The product of likelihood ratios against
 * higher rates is then a supermartingale, and by Ville's inequality it ever reaches 1 / a with
 * probability at most a, however often it is evaluated. Not thread-safe.
 */
final class EventComparison {

  /** Ratio of the event rates, candidate to current version, up to which there is no fault. */
  static final double TOLERATED_RATIO = 1.25;

  private static final double[] ALTERNATIVE_RATIOS = {3, 10, 50};

  /** Time constant, in requests, of the moving average of the candidate's fraction. */
  private static final double AVERAGING_WINDOW_REQUESTS = 200;

  private final double[] logEvidence = new double[ALTERNATIVE_RATIOS.length];
  private double weightedCandidateCount;
  private double totalWeight;

  /**
   * Records a request of either version.
   *
   * @param share current share of the candidate; the larger of it and the observed fraction is
   *     used, so that a share that was just raised is not mistaken for a higher event rate
   */
  void record(boolean candidate, boolean event, double share) {
    if (event) {
      addEvidence(
          candidate, Math.max(share, totalWeight == 0 ? 0 : weightedCandidateCount / totalWeight));
    }
    double keep = 1 - 1 / AVERAGING_WINDOW_REQUESTS;
    weightedCandidateCount = weightedCandidateCount * keep + (candidate ? 1 : 0);
    totalWeight = totalWeight * keep + 1;
  }

  /** Returns the natural logarithm of the evidence against the candidate. */
  double logEvidence() {
    double highest = Double.NEGATIVE_INFINITY;
    for (double value : logEvidence) {
      highest = Math.max(highest, value);
    }
    double sum = 0;
    for (double value : logEvidence) {
      sum += Math.exp(value - highest);
    }
    return highest + Math.log(sum / logEvidence.length);
  }

  private void addEvidence(boolean candidate, double candidateFraction) {
    double expected = probability(candidateFraction, TOLERATED_RATIO);
    if (expected <= 0 || expected >= 1) {
      return;
    }
    for (int index = 0; index < logEvidence.length; index++) {
      double assumed = probability(candidateFraction, ALTERNATIVE_RATIOS[index]);
      logEvidence[index] +=
          candidate ? Math.log(assumed / expected) : Math.log((1 - assumed) / (1 - expected));
    }
  }

  private static double probability(double candidateFraction, double ratio) {
    return ratio * candidateFraction / (1 + (ratio - 1) * candidateFraction);
  }
}
