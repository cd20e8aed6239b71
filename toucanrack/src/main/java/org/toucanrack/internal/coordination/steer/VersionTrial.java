package org.toucanrack.internal.coordination.steer;

import java.util.Objects;
import org.toucanrack.id.VersionId;

/**
 * The version that a rollout order moves a service to. Immutable and thread-safe.
 *
 * @param to the version
 * @param share the share of the service's requests that it gets now: 0 after a rollback, 1 after
 *     completion
 */
public record VersionTrial(VersionId to, double share) {

  /** Rejects shares outside 0 to 1. */
  public VersionTrial {
    Objects.requireNonNull(to, "to");
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("share must be from 0 to 1, was " + share);
    }
  }
}
