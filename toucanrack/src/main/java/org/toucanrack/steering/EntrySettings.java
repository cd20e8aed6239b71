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
 * The settings of an entry VM that follows a platform's store. Immutable and thread-safe.
 *
 * @param vm the name of this VM
 * @param failureDomain where it stands
 * @param regions the region of each failure domain
 * @param endpoints the addresses it listens on
 * @param bounds the promises that it has to keep
 * @param requestCapacity requests a second that this VM carries at moderate load
 */
public record EntrySettings(
    VmId vm,
    FailureDomainId failureDomain,
    Map<FailureDomainId, RegionId> regions,
    Endpoints endpoints,
    Bounds bounds,
    double requestCapacity) {

  /** Rejects a failure domain without region and a VM without capacity. */
  public EntrySettings {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(endpoints, "endpoints");
    Objects.requireNonNull(bounds, "bounds");
    regions = Map.copyOf(regions);
    if (!regions.containsKey(failureDomain)) {
      throw new IllegalArgumentException("no region is given for " + failureDomain);
    }
    if (!(requestCapacity > 0)) {
      throw new IllegalArgumentException(
          "the request capacity is " + requestCapacity + ", but has to be positive");
    }
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
   * Addresses.
   *
   * @param callers for requests
   * @param readiness for the platform's readiness checks
   * @param lookup for callers that ask which VM to use
   * @param peers for other VMs, over UDP and TCP
   * @param metrics for metrics, if wanted
   * @param knownPeers other VMs to start with
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
   * Promises towards callers and operators.
   *
   * @param stopGracePeriod time between the order to stop and the end of the process
   * @param maxLookupTtl longest time that callers may keep an answer to a look-up
   * @param retryBudgetRatio extra attempts per request of a service, over all VMs
   * @param retryBudgetReserve extra attempts beyond the ratio, over all VMs
   * @param retryWindow the window that both are counted in
   * @param coldOvershoot factor on what a cold server bears within a second
   * @param coldReserve requests beyond the factor
   * @param maxRegionShift share of a region's requests that may change region within two seconds
   * @param rateReserve requests that a customer may exceed its rate and burst by
   * @param rolloutShare share of a service's requests that a version on trial may get
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
      double rateReserve,
      double rolloutShare) {}
}
