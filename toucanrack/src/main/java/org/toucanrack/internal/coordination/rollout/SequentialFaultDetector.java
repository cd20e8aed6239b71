package org.toucanrack.internal.coordination.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.RouteId;
import org.toucanrack.internal.coordination.rollout.VersionSelector.Observation;

/**
 * Detects by sequential tests whether a candidate version has more errors or slow answers than the
 * current one, over all requests, per route and per customer.
 *
 * <p>Invariant: a candidate that is not worse is rejected on this VM with probability at most
 * {@link #MAX_FALSE_ALARM_PROBABILITY}, however long it is observed. Not thread-safe.
 */
final class SequentialFaultDetector {

  /** Bound per VM and rollout, which keeps 10 VMs together at 1 in 1000 or below. */
  static final double MAX_FALSE_ALARM_PROBABILITY = 1e-4;

  /**
   * Number of first answers of the candidate on this VM whose latency is ignored, as caches are
   * cold.
   */
  static final int WARM_UP_ANSWERS = 20;

  private final Map<String, EventComparison> comparisons = new HashMap<>();
  private final Map<String, Integer> comparisonNumbers = new HashMap<>();
  private final Map<RouteId, SlowThreshold> thresholds = new HashMap<>();
  private int candidateAnswers;

  /** Records a finished request; returns a description of the fault if this request proves one. */
  Optional<String> observe(Observation observation, boolean candidate, double share) {
    SlowThreshold threshold =
        thresholds.computeIfAbsent(observation.route(), route -> new SlowThreshold());
    final boolean slow = threshold.isSlow(observation.latencyNanos());
    if (!candidate && !observation.failed()) {
      threshold.update(observation.latencyNanos());
    }
    Optional<String> errors =
        compare("errors", observation, candidate, observation.failed(), share);
    boolean warmingUp = candidate && ++candidateAnswers <= WARM_UP_ANSWERS;
    if (errors.isPresent() || observation.failed() || warmingUp || !threshold.isCalibrated()) {
      return errors;
    }
    return compare("slow answers", observation, candidate, slow, share);
  }

  private Optional<String> compare(
      String kind, Observation observation, boolean candidate, boolean event, double share) {
    String[] groups = {
      "all requests", "route " + observation.route(), "customer " + observation.customer()
    };
    Optional<String> fault = Optional.empty();
    for (String group : groups) {
      String key = kind + " on " + group;
      EventComparison comparison =
          comparisons.computeIfAbsent(key, unused -> new EventComparison());
      comparisonNumbers.putIfAbsent(key, comparisonNumbers.size() + 1);
      comparison.record(candidate, event, share);
      if (fault.isEmpty()
          && comparison.logEvidence() >= logEvidenceLimit(comparisonNumbers.get(key))) {
        fault = Optional.of("More " + key + " than the current version at the same time.");
      }
    }
    return fault;
  }

  /**
   * The k-th comparison may raise a false alarm with probability p / (k (k + 1)); these sum to at
   * most p, the bound for all comparisons.
   */
  private static double logEvidenceLimit(int number) {
    return Math.log(number * (number + 1.0) / MAX_FALSE_ALARM_PROBABILITY);
  }
}
