package org.toucanrack.internal.coordination.steer;

import java.util.Collection;

/**
 * Divides a customer's rate among the VMs by their claims.
 *
 * <p>Invariant: a share is raised only within what the latest claims of the others leave free.
 * Stateless and thread-safe.
 */
final class ShareDivision {

  /** Demand that is added for each serving VM, since small measured demands are noisy. */
  private static final double BASE_DEMAND_PER_SECOND = 1.0;

  /** Fraction of the mean demand that is added for each serving VM, to smooth noise. */
  private static final double MEAN_DEMAND_FRACTION = 1.0;

  /**
   * A share is lowered only to a target below this fraction of it, since it takes long to regain a
   * share.
   */
  private static final double KEPT_SHARE_FRACTION = 0.8;

  /**
   * Fraction of the free share that is claimed at a time, since a partition may begin before the
   * claim is published.
   */
  private static final double USED_FREE_FRACTION = 0.5;

  private ShareDivision() {}

  /**
   * Returns the share of a VM that has just learned of the others: an equal part, or less if the
   * others leave less free. After all VMs have restarted, none has a claim, and each would
   * otherwise need several divisions to raise its initial share.
   */
  static double firstShare(
      double initialShare, Collection<RateShares.Claim> reportedClaims, int otherServingVms) {
    double free = 1 - reportedClaims.stream().mapToDouble(RateShares.Claim::share).sum();
    long reportedServing = reportedClaims.stream().filter(RateShares.Claim::serving).count();
    double unreportedVms = Math.max(0, otherServingVms - reportedServing);
    double equalPart = Math.min(1.0 / (otherServingVms + 1), free / (unreportedVms + 1));
    return Math.max(initialShare, equalPart);
  }

  /**
   * Returns the new share of a VM; a VM on standby gives up its share. All VMs compute this from
   * the same claims and divide the free share in proportion to their shortfalls, so that they don't
   * claim the same part of it.
   */
  static double rebalanced(RateShares.Claim own, Collection<RateShares.Claim> others) {
    double shares = own.share();
    double servingShares = own.share();
    double demand = own.demand();
    int servingCount = own.serving() ? 1 : 0;
    for (RateShares.Claim other : others) {
      shares += other.share();
      servingShares += other.serving() ? other.share() : 0;
      demand += other.demand();
      servingCount += other.serving() ? 1 : 0;
    }
    if (!own.serving() && servingCount > 0) {
      return 0;
    }
    double baseDemand =
        BASE_DEMAND_PER_SECOND + MEAN_DEMAND_FRACTION * demand / Math.max(1, servingCount);
    double totalDemand = demand + Math.max(1, servingCount) * baseDemand;
    double targetShare = targetShare(own, baseDemand, totalDemand);
    if (targetShare < own.share()) {
      return targetShare;
    }
    if (servingShares > 1) {
      return own.share() / servingShares;
    }
    double free = 1 - shares;
    if (free <= 0) {
      // The claims of VMs on standby will be released; lowering this share as well would reduce it
      // to nothing.
      return own.share();
    }
    double totalShortfall = targetShare - own.share();
    for (RateShares.Claim other : others) {
      totalShortfall +=
          other.serving()
              ? Math.max(0, targetShare(other, baseDemand, totalDemand) - other.share())
              : 0;
    }
    return totalShortfall <= 0
        ? own.share()
        : own.share()
            + (targetShare - own.share()) * Math.min(1, USED_FREE_FRACTION * free / totalShortfall);
  }

  private static double targetShare(RateShares.Claim claim, double baseDemand, double totalDemand) {
    double target = (claim.demand() + baseDemand) / totalDemand;
    boolean withinTolerance =
        target < claim.share() && target > KEPT_SHARE_FRACTION * claim.share();
    return withinTolerance ? claim.share() : target;
  }
}
