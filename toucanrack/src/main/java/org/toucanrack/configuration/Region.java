package org.toucanrack.configuration;

import java.util.List;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;

/**
 * A region and its failure domains. Immutable and thread-safe.
 *
 * @param id the region
 * @param failureDomains its failure domains; at least one
 */
public record Region(RegionId id, List<FailureDomainId> failureDomains) {

  /** Copies the list and rejects an empty one. */
  public Region {
    failureDomains = List.copyOf(failureDomains);
    if (failureDomains.isEmpty()) {
      throw new IllegalArgumentException("region " + id + " has no failure domain");
    }
  }
}
