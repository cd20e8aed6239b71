package org.toucanrack.internal.coordination.move;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.state.TrafficSplit;

/**
 * Bounds the traffic that changes its failure domain on this VM, by moves and by failover together.
 *
 * <p>Invariant: in any window, requests that are not served as the split at the window's start
 * determines are at most the cap's fraction of the arrivals, plus less than two. Each VM enforces
 * this for its own arrivals, so it holds for the sum over all VMs even if their views of the move
 * differ. Thread-safe.
 */
public final class ShiftWindowGate implements ShiftGate {

  /**
   * Fraction of the cap that is used. The rest covers the requests by which a window may exceed the
   * fraction, for windows with at least 40 / cap arrivals.
   */
  static final double USABLE_CAP_FRACTION = 0.95;

  private final Map<ServiceId, BoundedSplit> splits = new HashMap<>();
  private final Map<ServiceId, ShiftPermits> permits = new HashMap<>();
  private Map<ServiceId, Map<FailureDomainId, Double>> targets = Map.of();
  private ShiftRule rule;
  private boolean initialized;

  /** Creates a gate without splits. */
  public ShiftWindowGate(ShiftRule rule) {
    this.rule = rule;
  }

  /** Updates the cap and the window. */
  public synchronized void updateRule(ShiftRule newRule) {
    rule = newRule;
  }

  /**
   * Updates the declared splits of the traffic that arrives in the VM's own failure domain. The
   * first ones count as already in effect, since the traffic of a VM that starts comes from other
   * VMs that applied them.
   */
  public synchronized void updateSplits(
      FailureDomainId ownDomain, List<TrafficSplit> declared, long nowNanos) {
    Map<ServiceId, Map<FailureDomainId, Double>> newTargets = new HashMap<>();
    declared.stream()
        .filter(split -> split.from().equals(ownDomain))
        .forEach(split -> newTargets.put(split.service(), split.fractions()));
    targets = newTargets;
    targets.forEach(
        (service, fractions) ->
            splits.computeIfAbsent(
                service, id -> new BoundedSplit(initialized ? Map.of() : fractions)));
    initialized = true;
    splits.keySet().forEach(service -> advanceSplit(service, nowNanos));
  }

  @Override
  public synchronized Map<FailureDomainId, Double> split(ServiceId service, long nowNanos) {
    advanceSplit(service, nowNanos);
    return splits.containsKey(service) ? splits.get(service).applied() : Map.of();
  }

  @Override
  public synchronized void recordArrival(ServiceId service, long nowNanos) {
    permits
        .computeIfAbsent(service, id -> new ShiftPermits())
        .recordArrival(permittedFraction(service, nowNanos));
  }

  @Override
  public synchronized boolean tryShift(
      ServiceId service, FailureDomainId from, FailureDomainId to, long nowNanos) {
    return from.equals(to)
        || Optional.ofNullable(permits.get(service)).map(ShiftPermits::tryShift).orElse(false);
  }

  /**
   * Returns the fraction that may be shifted: the applied split plus the unused part of the cap,
   * which is available to failover.
   */
  private double permittedFraction(ServiceId service, long nowNanos) {
    advanceSplit(service, nowNanos);
    BoundedSplit split = splits.get(service);
    if (split == null) {
      return usableCap();
    }
    return split.shiftedFraction()
        + Math.max(0, usableCap() - split.changedFraction(windowNanos(), nowNanos));
  }

  private void advanceSplit(ServiceId service, long nowNanos) {
    BoundedSplit split = splits.get(service);
    if (split != null) {
      double budget = usableCap() - split.changedFraction(windowNanos(), nowNanos);
      split.moveTowards(targets.getOrDefault(service, Map.of()), budget, nowNanos);
    }
  }

  private double usableCap() {
    return rule.capFraction() * USABLE_CAP_FRACTION;
  }

  private long windowNanos() {
    return rule.window().toNanos();
  }
}
