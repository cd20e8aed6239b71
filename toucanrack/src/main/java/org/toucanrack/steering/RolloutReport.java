package org.toucanrack.steering;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What the store holds of a rollout. It outlives all VMs, so that VMs that start anew carry the
 * rollout on from there. Immutable and thread-safe.
 *
 * @param progress how far the rollout is
 * @param startTime when its order was first seen, by the clock of the store; empty if not known
 */
public record RolloutReport(RolloutProgress progress, Optional<Duration> startTime) {

  /** Rejects missing parts. */
  public RolloutReport {
    Objects.requireNonNull(progress, "progress");
    Objects.requireNonNull(startTime, "startTime");
  }
}
