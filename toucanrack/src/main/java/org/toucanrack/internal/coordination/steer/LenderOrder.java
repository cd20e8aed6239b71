package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Orders the VMs that are asked to lend a token of a customer's rate.
 *
 * <p>The load pattern is a customer with less than one request per second and VM, whose callers
 * swing between regions: the VMs of a region run out of tokens at the same time, while those of
 * others have some. Each VM's claim tells how much of its share its own callers leave unused, and
 * the VMs that leave the most are asked first. Stateless and thread-safe.
 */
public final class LenderOrder {

  /**
   * Random part of the rank, as a multiple of an equal part of the rate. Claims are up to some
   * seconds old, and all borrowers would otherwise ask the same VM first.
   */
  private static final double RANDOM_PART = 1;

  /** What a lender in the region of the borrower gains in rank, as such a multiple. */
  private static final double SAME_REGION_PART = 0.3;

  private LenderOrder() {}

  /**
   * A VM that may have a token to lend.
   *
   * @param address where it is asked
   * @param sameRegion whether it is in the region of the borrower
   * @param claim its latest claim of the customer's rate, if one was heard
   * @param <T> the type of addresses
   */
  public record Lender<T>(T address, boolean sameRegion, Optional<RateShares.Claim> claim) {}

  /** Returns the addresses of the lenders in the order in which they are asked. */
  public static <T> List<T> order(
      List<Lender<T>> lenders, double requestsPerSecond, RandomGenerator random) {
    record Ranked<U>(U address, double rank) {}

    double equalPart = requestsPerSecond / (lenders.size() + 1);
    List<Ranked<T>> ranked = new ArrayList<>();
    for (Lender<T> lender : lenders) {
      double spare =
          lender
              .claim()
              .map(claim -> claim.share() * requestsPerSecond - claim.demand())
              .orElse(0.0);
      double preference =
          RANDOM_PART * random.nextDouble() + (lender.sameRegion() ? SAME_REGION_PART : 0);
      ranked.add(new Ranked<>(lender.address(), spare + preference * equalPart));
    }
    ranked.sort(Comparator.comparingDouble((Ranked<T> lender) -> lender.rank()).reversed());
    return ranked.stream().map(Ranked::address).toList();
  }
}
