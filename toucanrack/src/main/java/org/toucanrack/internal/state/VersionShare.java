package org.toucanrack.internal.state;

import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * Maximum share of a service's traffic for a version under rollout. Immutable and thread-safe.
 *
 * @param service the service
 * @param version the version
 * @param share from 0 to 1; 0 for a version that was taken back
 */
public record VersionShare(ServiceId service, VersionId version, double share) {

  /** Rejects shares outside 0 to 1. */
  public VersionShare {
    if (share < 0 || share > 1) {
      throw new IllegalArgumentException("share must be between 0 and 1, was " + share);
    }
  }
}
