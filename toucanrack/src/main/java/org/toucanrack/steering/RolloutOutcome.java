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
public record RolloutOutcome(ServiceId service, VersionId to, Phase phase) {

  /** The phases; a rollout leaves {@code RUNNING} once. */
  public enum Phase {
    RUNNING,
    COMPLETED,
    REVERTED
  }

  /** Rejects missing parts. */
  public RolloutOutcome {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(phase, "phase");
  }
}
