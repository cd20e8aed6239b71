package org.toucanrack.steering;

import java.util.Objects;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * The progress of a rollout, as reported to operators. Immutable and thread-safe.
 *
 * @param service the service
 * @param to the target version
 * @param phase the current phase
 */
public record RolloutProgress(ServiceId service, VersionId to, Phase phase) {

  /** The phases in their order, which is compared; the last two are final. */
  public enum Phase {
    /** The version is on trial with a small share of the requests. */
    RUNNING,
    /** The version passed the trial; its share is being increased. */
    MOVING,
    /** The version receives all requests. */
    COMPLETED,
    /** The version showed faults, on trial or later; the previous one receives all requests. */
    REVERTED;

    /** Returns whether the rollout is over. */
    public boolean isFinal() {
      return this == COMPLETED || this == REVERTED;
    }
  }

  /** Rejects missing parts. */
  public RolloutProgress {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(phase, "phase");
  }
}
