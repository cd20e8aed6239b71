package org.toucanrack.steering;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The state of a rollout in the store. It persists when all VMs are down, so that restarted VMs
 * resume the rollout from it. Immutable and thread-safe.
 *
 * @param progress the progress of the rollout
 * @param startTime when the order was first seen, on the clock of the store; empty if unknown
 */
public record RolloutReport(RolloutProgress progress, Optional<Duration> startTime) {

  /** Rejects missing parts. */
  public RolloutReport {
    Objects.requireNonNull(progress, "progress");
    Objects.requireNonNull(startTime, "startTime");
  }
}
