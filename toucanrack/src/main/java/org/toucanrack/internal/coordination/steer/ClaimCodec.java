package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.CustomerId;

/**
 * Encodes claims as three numbers for each customer, since claims make up most of a heartbeat.
 * Stateless and thread-safe.
 */
public final class ClaimCodec {

  private static final int NUMBERS_PER_CLAIM = 3;
  private static final double SHARE_SCALE = 10_000;
  private static final double DEMAND_SCALE = 10;

  /**
   * Collisions are rare at 24 bits and a thousand customers; customers that collide are given the
   * same claim.
   */
  private static final int HASH_MASK = 0xffffff;

  private ClaimCodec() {}

  /**
   * Encodes claims, sorted so that equal customers have the same order each time. Shares are
   * rounded up, so that a VM never publishes less than it uses.
   */
  public static List<Integer> encode(Map<CustomerId, RateShares.Claim> claims) {
    List<Integer> numbers = new ArrayList<>(NUMBERS_PER_CLAIM * claims.size());
    claims.entrySet().stream()
        .sorted(Comparator.comparingInt(entry -> hash(entry.getKey())))
        .forEach(
            entry -> {
              RateShares.Claim claim = entry.getValue();
              numbers.add(hash(entry.getKey()));
              numbers.add((int) Math.ceil(claim.share() * SHARE_SCALE));
              numbers.add((int) Math.round(claim.demand() * DEMAND_SCALE));
            });
    return numbers;
  }

  /**
   * Decodes the claims of a VM.
   *
   * @param numbers the encoded claims; an incomplete group at the end is ignored
   * @param serving whether callers are sent to the VM
   * @param customers the customers to decode; claims of other customers are dropped
   */
  public static Map<CustomerId, RateShares.Claim> decode(
      List<Integer> numbers, boolean serving, Collection<CustomerId> customers) {
    Map<Integer, RateShares.Claim> byHash = new HashMap<>();
    for (int i = 0; i + NUMBERS_PER_CLAIM <= numbers.size(); i += NUMBERS_PER_CLAIM) {
      byHash.put(numbers.get(i), claim(numbers, i, serving));
    }
    Map<CustomerId, RateShares.Claim> claims = new HashMap<>();
    for (CustomerId customer : customers) {
      RateShares.Claim claim = byHash.get(hash(customer));
      if (claim != null) {
        claims.put(customer, claim);
      }
    }
    return claims;
  }

  /** Decodes the claim of one customer, if the VM has published one. */
  public static Optional<RateShares.Claim> decode(
      List<Integer> numbers, boolean serving, CustomerId customer) {
    int hash = hash(customer);
    for (int i = 0; i + NUMBERS_PER_CLAIM <= numbers.size(); i += NUMBERS_PER_CLAIM) {
      if (numbers.get(i) == hash) {
        return Optional.of(claim(numbers, i, serving));
      }
    }
    return Optional.empty();
  }

  private static RateShares.Claim claim(List<Integer> numbers, int index, boolean serving) {
    return new RateShares.Claim(
        numbers.get(index + 1) / SHARE_SCALE, numbers.get(index + 2) / DEMAND_SCALE, serving);
  }

  private static int hash(CustomerId customer) {
    return (int) (StableHash.hash(customer.value()) & HASH_MASK);
  }
}
