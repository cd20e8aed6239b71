package org.toucanrack.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;

/**
 * The settings of an entry VM. Invariant: the failure domain of the VM belongs to a region.
 * Immutable and thread-safe.
 *
 * @param vm the name of this VM
 * @param failureDomain the failure domain it runs in
 * @param regions the region of each failure domain
 * @param endpoints the addresses it listens on, and the first peers it contacts
 * @param bounds the limits that it has to keep
 * @param requestCapacity requests per second that this VM handles at normal utilization
 * @param usageReporting how usage is reported to the platform; empty if it asks for no reports
 */
public record EntrySettings(
    VmId vm,
    FailureDomainId failureDomain,
    Map<FailureDomainId, RegionId> regions,
    Endpoints endpoints,
    Bounds bounds,
    double requestCapacity,
    Optional<UsageReporting> usageReporting) {

  /** Rejects a failure domain without a region and a capacity that is not positive. */
  public EntrySettings {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(endpoints, "endpoints");
    Objects.requireNonNull(bounds, "bounds");
    Objects.requireNonNull(usageReporting, "usageReporting");
    regions = Map.copyOf(regions);
    if (!regions.containsKey(failureDomain)) {
      throw new IllegalArgumentException("no region is given for " + failureDomain);
    }
    if (!(requestCapacity > 0)) {
      throw new IllegalArgumentException(
          "the request capacity is " + requestCapacity + ", but has to be positive");
    }
  }

  /** Creates settings without usage reports. */
  public EntrySettings(
      VmId vm,
      FailureDomainId failureDomain,
      Map<FailureDomainId, RegionId> regions,
      Endpoints endpoints,
      Bounds bounds,
      double requestCapacity) {
    this(vm, failureDomain, regions, endpoints, bounds, requestCapacity, Optional.empty());
  }

  /** Returns the region of this VM. */
  public RegionId region() {
    return regions.get(failureDomain);
  }

  /** Returns the number of regions. */
  public int regionCount() {
    return new HashSet<>(regions.values()).size();
  }

  /**
   * The addresses that a VM listens on, and those of the peers that it contacts first.
   *
   * @param callers for requests of callers
   * @param readiness for the platform's readiness checks
   * @param lookup for look-ups, by which callers find the VMs to use
   * @param peers for other VMs, with UDP and TCP on the same port
   * @param metrics for metrics; empty if metrics are not exported
   * @param knownPeers other VMs to contact at the start
   */
  public record Endpoints(
      InetSocketAddress callers,
      InetSocketAddress readiness,
      InetSocketAddress lookup,
      InetSocketAddress peers,
      Optional<InetSocketAddress> metrics,
      List<InetSocketAddress> knownPeers) {

    /** Copies the list. */
    public Endpoints {
      knownPeers = List.copyOf(knownPeers);
    }
  }

  /**
   * Limits that are guaranteed to callers and operators.
   *
   * @param stopGracePeriod time between the request to stop and the end of the process
   * @param maxLookupTtl longest time that callers may cache the answer to a look-up
   * @param retryBudgetRatio extra attempts per request of a service, summed over all VMs
   * @param retryBudgetReserve extra attempts allowed beyond the ratio, summed over all VMs
   * @param retryWindow the sliding window in which both are counted
   * @param coldOvershoot allowed factor on the number of requests a cold server may get in one
   *     second
   * @param coldReserve requests in one second allowed beyond the factor
   * @param maxRegionShift largest share of a region's requests that may be shifted between regions
   *     within two seconds
   * @param rateWindow the sliding window in which a customer may send its rate and its burst
   * @param rateReserve number of requests by which a customer may exceed them in a window
   * @param rolloutShare largest share of a service's requests that a version on trial may receive
   * @param settlingTime time after a disruption of a VM or of the store until the limits that
   *     depend on it have to be kept again
   */
  public record Bounds(
      Duration stopGracePeriod,
      Duration maxLookupTtl,
      double retryBudgetRatio,
      double retryBudgetReserve,
      Duration retryWindow,
      double coldOvershoot,
      double coldReserve,
      double maxRegionShift,
      Duration rateWindow,
      double rateReserve,
      double rolloutShare,
      Duration settlingTime) {}
}
