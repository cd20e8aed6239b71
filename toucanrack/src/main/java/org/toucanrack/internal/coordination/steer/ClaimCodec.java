package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.id.CustomerId;

/**
 * Writes claims as three numbers a customer, since they are most of a heartbeat. Stateless and
 * thread-safe.
 */
public final class ClaimCodec {

  private static final int NUMBERS = 3;
  private static final double SHARE_UNIT = 10_000;
  private static final double DEMAND_UNIT = 10;

  /** Enough that two of a thousand customers rarely share a hash; if so, they share a claim. */
  private static final int HASH_MASK = 0xffffff;

  private ClaimCodec() {}

  /** Encodes claims. */
  public static List<Integer> encode(Map<CustomerId, RateShares.Claim> claims) {
    List<Integer> numbers = new ArrayList<>(NUMBERS * claims.size());
    claims.forEach(
        (customer, claim) -> {
          numbers.add(hash(customer));
          numbers.add((int) Math.ceil(claim.share() * SHARE_UNIT));
          numbers.add((int) Math.round(claim.demand() * DEMAND_UNIT));
        });
    return numbers;
  }

  /** Decodes the claims of the customers that are known here, as told by a VM. */
  public static Map<CustomerId, RateShares.Claim> decode(
      List<Integer> numbers, boolean serving, Collection<CustomerId> customers) {
    Map<Integer, RateShares.Claim> byHash = new HashMap<>();
    for (int i = 0; i + NUMBERS <= numbers.size(); i += NUMBERS) {
      byHash.put(
          numbers.get(i),
          new RateShares.Claim(
              numbers.get(i + 1) / SHARE_UNIT, numbers.get(i + 2) / DEMAND_UNIT, serving));
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

  private static int hash(CustomerId customer) {
    return (int) (StableHash.hash(customer.value()) & HASH_MASK);
  }
}
