package org.toucanrack.steering;

import java.util.Objects;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * How far a rollout is, as told to operators. Immutable and thread-safe.
 *
 * @param service the service
 * @param to the version of the order
 * @param phase how far the rollout is
 */
public record RolloutProgress(ServiceId service, VersionId to, Phase phase) {

  /** The phases, in their order; the last two are final. */
  public enum Phase {
    /** The version is on trial with a small share. */
    RUNNING,
    /** The trial is passed; the share of the version grows. */
    MOVING,
    COMPLETED,
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
