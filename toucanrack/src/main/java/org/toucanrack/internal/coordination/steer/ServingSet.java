package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.VmId;

/**
 * Chooses the VMs of a region that callers are sent to; the others are on standby.
 *
 * <p>A few VMs with many requests each estimate the load of servers, reuse connections and divide
 * rates better than many VMs with few requests. All VMs that receive the same heartbeats choose the
 * same set. Stateless and thread-safe.
 */
public final class ServingSet {

  /**
   * With two, one VM of each failure domain may fail without callers having to wait for a new
   * look-up.
   */
  private static final int MIN_PER_DOMAIN = 2;

  /** Ratio of capacity to load; the remaining capacity suffices if half of the set fails. */
  private static final double HEADROOM = 2;

  private ServingSet() {}

  /**
   * A VM that is ready.
   *
   * @param vm its id
   * @param domain the failure domain that it runs in
   * @param capacity requests per second that it handles at moderate load
   */
  public record Candidate(VmId vm, FailureDomainId domain, double capacity) {}

  /**
   * Returns the serving VMs of a region: at least two of each failure domain, and more until the
   * capacity suffices.
   *
   * @param ready the VMs of the region that are ready
   * @param requestsPerSecond the load of the region
   */
  public static Set<VmId> choose(Collection<Candidate> ready, double requestsPerSecond) {
    Map<String, List<Candidate>> byDomain = new TreeMap<>();
    for (Candidate candidate : ready) {
      byDomain.computeIfAbsent(candidate.domain().value(), id -> new ArrayList<>()).add(candidate);
    }
    byDomain.values().forEach(candidates -> candidates.sort(strongestFirst()));
    Set<VmId> chosen = new HashSet<>();
    double capacity = 0;
    for (int round = 0; chosen.size() < ready.size(); round++) {
      if (round >= MIN_PER_DOMAIN && capacity >= HEADROOM * requestsPerSecond) {
        break;
      }
      for (List<Candidate> candidates : byDomain.values()) {
        if (round < candidates.size()) {
          chosen.add(candidates.get(round).vm());
          capacity += candidates.get(round).capacity();
        }
      }
    }
    return chosen;
  }

  private static Comparator<Candidate> strongestFirst() {
    return Comparator.comparingDouble(Candidate::capacity)
        .reversed()
        .thenComparingLong(candidate -> StableHash.hash(candidate.vm().value()));
  }
}
