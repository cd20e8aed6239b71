package org.toucanrack.internal.coordination.rollout;

/**
 * An e-process on which version a bad event (an error, or a slow answer) belongs to.
 *
 * <p>If the candidate has at most {@link #TOLERATED_RATIO} times the event rate of the current
 * version in the same time span, an event belongs to it with at most the probability that its part
 * of the requests gives. The product of likelihood ratios against higher rates is then a
 * supermartingale, and by Ville's inequality it ever reaches 1 / a with probability at most a,
 * however often it is looked at. Not thread-safe.
 */
final class EventComparison {

  /** Event rates of the candidate up to this ratio are no fault. */
  static final double TOLERATED_RATIO = 1.25;

  private static final double[] ALTERNATIVE_RATIOS = {3, 10, 50};

  /** Requests over which the candidate's part is averaged. */
  private static final double AVERAGING_WINDOW_REQUESTS = 200;

  private final double[] logEvidence = new double[ALTERNATIVE_RATIOS.length];
  private double weightedCandidateCount;
  private double totalWeight;

  /**
   * Records a request of either version.
   *
   * @param share share of the candidate now; the larger of it and the observed part counts, so that
   *     a share that has just risen is not mistaken for more events
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
