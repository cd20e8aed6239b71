package org.toucanrack.internal.coordination.steer;

/**
 * How long the servers of one service work on a request, without its wait, learned from the answers
 * of all of them. Requests about objects that a server handled lately are far quicker, so both are
 * averaged apart. Not thread-safe.
 */
final class ServiceTimeEstimator {

  /** Weight of the newest answer in the averages, once there are enough of them. */
  private static final double MIN_SAMPLE_WEIGHT = 0.05;

  /** Ratio of the two averages until both are known. */
  private static final double DEFAULT_MISS_TO_HIT_RATIO = 2;

  private final MovingAverage hits = new MovingAverage();
  private final MovingAverage misses = new MovingAverage();
  private final MovingAverage all = new MovingAverage();

  /** Learns from an answer. */
  void record(boolean affinityHit, double nanos) {
    (affinityHit ? hits : misses).add(nanos);
    all.add(nanos);
  }

  /**
   * Returns the expected work on a request.
   *
   * @param affinityHit whether the server handled the object lately
   * @param priorNanos what is expected of an unknown object before there is any answer
   */
  double expectedNanos(boolean affinityHit, double priorNanos) {
    if (!hits.isEmpty() && !misses.isEmpty()) {
      return affinityHit ? hits.mean : Math.max(hits.mean, misses.mean);
    }
    if (!hits.isEmpty()) {
      return affinityHit ? hits.mean : DEFAULT_MISS_TO_HIT_RATIO * hits.mean;
    }
    double missNanos = misses.isEmpty() ? priorNanos : misses.mean;
    return affinityHit ? missNanos / DEFAULT_MISS_TO_HIT_RATIO : missNanos;
  }

  /** Returns the mean work on a request, as objects are known at present; 0 before any answer. */
  double meanNanos() {
    return all.mean;
  }

  private static final class MovingAverage {

    private double mean;
    private int count;

    void add(double value) {
      count++;
      mean += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / count) * (value - mean);
    }

    boolean isEmpty() {
      return count == 0;
    }
  }
}
