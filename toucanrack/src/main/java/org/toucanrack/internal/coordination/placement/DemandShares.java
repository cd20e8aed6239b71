package org.toucanrack.internal.coordination.placement;

/**
 * The part of the demand that comes from callers near this VM.
 *
 * @param ofAllRegions the own region's part of the requests of all regions, from 0 to 1
 * @param ofOwnRegion the part of the own region's requests that the VMs of the own failure domain
 *     receive, from 0 to 1
 */
public record DemandShares(double ofAllRegions, double ofOwnRegion) {

  /** Rejects parts outside of the range. */
  public DemandShares {
    if (!(ofAllRegions >= 0 && ofAllRegions <= 1 && ofOwnRegion >= 0 && ofOwnRegion <= 1)) {
      throw new IllegalArgumentException(
          "parts of the demand are " + ofAllRegions + " and " + ofOwnRegion);
    }
  }
}
