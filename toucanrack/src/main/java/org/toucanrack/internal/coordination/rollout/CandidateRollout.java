package org.toucanrack.internal.coordination.rollout;

import java.util.Optional;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.rollout.VersionSelector.Observation;

/**
 * Exposes one candidate version to requests on this VM and compares it with the current version.
 *
 * <p>Invariant: after it is stopped, no further request is exposed. Thread-safe.
 */
final class CandidateRollout {

  /**
   * Consecutive requests that are exposed in the probe phase: the usual number of slots of a
   * server.
   */
  private static final int PROBE_BURST = 3;

  private final VersionId version;
  private final ExposureCounter exposure = new ExposureCounter();
  private final SequentialFaultDetector faultDetector = new SequentialFaultDetector();
  private boolean stopped;

  CandidateRollout(VersionId version) {
    this.version = version;
  }

  VersionId version() {
    return version;
  }

  synchronized void setShare(double share) {
    exposure.setShare(share, share <= RolloutPlanner.MAX_PROBE_SHARE ? PROBE_BURST : 1);
  }

  synchronized boolean tryExpose() {
    return !stopped && exposure.tryExpose();
  }

  /** Stops the exposure; returns whether it was not stopped before. */
  synchronized boolean stop() {
    boolean first = !stopped;
    stopped = true;
    return first;
  }

  /**
   * Records an observation; returns the first fault that is proved, which also stops the exposure.
   */
  synchronized Optional<String> observe(Observation observation) {
    if (stopped) {
      return Optional.empty();
    }
    boolean candidate = observation.version().equals(version);
    Optional<String> fault = faultDetector.observe(observation, candidate, exposure.currentShare());
    stopped = fault.isPresent();
    return fault;
  }
}
