package org.toucanrack.internal.coordination.steer;

/**
 * Estimates the service time of requests, without queueing, from the answers of all servers of one
 * service. Requests about objects that the server handled recently (affinity hits) are several
 * times faster, so hits and misses are averaged separately. Not thread-safe.
 */
final class ServiceTimeEstimator {

  /** Weight of the newest answer in the averages, once there are enough answers. */
  private static final double MIN_SAMPLE_WEIGHT = 0.05;

  /** Assumed ratio of the two averages until both are known. */
  private static final double DEFAULT_MISS_TO_HIT_RATIO = 2;

  private final MovingAverage hits = new MovingAverage();
  private final MovingAverage misses = new MovingAverage();
  private final MovingAverage all = new MovingAverage();

  void record(boolean affinityHit, double nanos) {
    (affinityHit ? hits : misses).add(nanos);
    all.add(nanos);
  }

  /**
   * Returns the expected service time of a request.
   *
   * @param affinityHit whether the server handled the object recently
   * @param priorNanos estimate of a miss before the first answer
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

  /** Returns the mean service time at the present hit rate; 0 before the first answer. */
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
