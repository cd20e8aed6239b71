package org.toucanrack.configuration;

import org.toucanrack.id.RegionId;

/**
 * The network link between two regions. Immutable and thread-safe.
 *
 * @param first one region
 * @param second the other region
 * @param bitsPerSecond the capacity in each direction
 */
public record RegionLink(RegionId first, RegionId second, long bitsPerSecond) {

  /** Rejects a capacity that is not positive. */
  public RegionLink {
    if (bitsPerSecond <= 0) {
      throw new IllegalArgumentException("link capacity must be positive");
    }
  }

  /** Returns whether the link connects the two regions, given in either order. */
  public boolean connects(RegionId one, RegionId other) {
    return (first.equals(one) && second.equals(other))
        || (first.equals(other) && second.equals(one));
  }
}
