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
 * Chooses the VMs of a region that callers are sent to; the others stand by.
 *
 * <p>A few VMs with many requests each know the load of servers, reuse connections and divide rates
 * better than many VMs with a request now and then. All VMs that hear the same heartbeats choose
 * the same set. Stateless and thread-safe.
 */
public final class ServingSet {

  /** One may be lost in each failure domain without callers waiting for new look-ups. */
  private static final int MIN_PER_DOMAIN = 2;

  /** Part by which the capacity exceeds the load, so that the loss of half of the set is borne. */
  private static final double HEADROOM = 2;

  private ServingSet() {}

  /**
   * A VM that is ready.
   *
   * @param vm its name
   * @param domain where it stands
   * @param capacity requests a second that it carries at moderate load
   */
  public record Candidate(VmId vm, FailureDomainId domain, double capacity) {}

  /** Returns the serving VMs among the ready ones of a region that has so many requests. */
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
