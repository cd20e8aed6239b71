package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.placement.DemandShares;
import org.toucanrack.internal.coordination.steer.ClaimCodec;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.ServingSet;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.steering.EntrySettings;

/**
 * Derives from the membership which VMs serve callers and share the limits on cold servers and
 * rates. Confined to the control thread.
 */
final class PeerView {

  /** A region has failed if its VMs were silent for this much longer than others. */
  private static final long REGION_FAILURE_NANOS =
      (long) (MemberTable.ALIVE_TIMEOUT_INTERVALS * TimeUnit.SECONDS.toNanos(1));

  /** A region has failed after this silence, also if no other VM is left to compare with. */
  private static final long MAX_REGION_SILENCE_NANOS =
      (long)
          (MemberTable.ALIVE_TIMEOUT_INTERVALS
              * TimeUnit.MILLISECONDS.toNanos(HeartbeatSchedule.STANDBY_INTERVAL_MS));

  private final EntrySettings settings;
  private final MemberTable members;
  private final DecisionLog log;
  private final long startedNanos;
  private final Map<RegionId, Set<VmId>> serving = new HashMap<>();
  private Set<VmId> aliveBefore = new HashSet<>();
  private boolean selfReady;
  private double ownRequestsPerSecond;
  private DemandShares demandShares;

  PeerView(EntrySettings settings, MemberTable members, DecisionLog log, long startedNanos) {
    this.settings = settings;
    this.members = members;
    this.log = log;
    this.startedNanos = startedNanos;
    this.demandShares = demandShares(Map.of(), Map.of());
  }

  /** Sets this VM's own request rate. */
  void updateOwnRequestsPerSecond(double requestsPerSecond) {
    ownRequestsPerSecond = requestsPerSecond;
  }

  /** Chooses again which VMs serve each region. */
  void refresh(boolean isSelfReady, long nowNanos) {
    selfReady = isSelfReady;
    final boolean servedBefore = selfServing();
    Map<RegionId, List<ServingSet.Candidate>> candidates = new HashMap<>();
    Map<RegionId, Double> requestsPerSecond = new HashMap<>();
    Map<FailureDomainId, Double> requestsByDomain = new HashMap<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      RegionId region = regionOf(member);
      if (region == null) {
        continue;
      }
      requestsPerSecond.merge(region, (double) member.getRequestsPerSecond(), Double::sum);
      requestsByDomain.merge(
          new FailureDomainId(member.getFailureDomain()),
          (double) member.getRequestsPerSecond(),
          Double::sum);
      if (member.getReady()) {
        candidates
            .computeIfAbsent(region, id -> new ArrayList<>())
            .add(
                new ServingSet.Candidate(
                    new VmId(member.getVm()),
                    new FailureDomainId(member.getFailureDomain()),
                    member.getRequestCapacity()));
      }
    }
    requestsPerSecond.merge(settings.region(), ownRequestsPerSecond, Double::sum);
    requestsByDomain.merge(settings.failureDomain(), ownRequestsPerSecond, Double::sum);
    demandShares = demandShares(requestsPerSecond, requestsByDomain);
    if (selfReady) {
      candidates
          .computeIfAbsent(settings.region(), id -> new ArrayList<>())
          .add(
              new ServingSet.Candidate(
                  settings.vm(), settings.failureDomain(), requestCapacity(settings)));
    }
    serving.clear();
    candidates.forEach(
        (region, ready) ->
            serving.put(
                region, ServingSet.choose(ready, requestsPerSecond.getOrDefault(region, 0.0))));
    if (servedBefore != selfServing()) {
      log.event(
          selfServing() ? "serves" : "stands-by",
          "requests_per_second",
          Math.round(requestsPerSecond.getOrDefault(settings.region(), 0.0)),
          "serving",
          serving.getOrDefault(settings.region(), Set.of()).size());
    }
  }

  /** Returns the capacity rounded as in heartbeats, so that all VMs compare the same numbers. */
  static int requestCapacity(EntrySettings settings) {
    return (int) Math.max(1, settings.requestCapacity());
  }

  /** Returns the part of the demand that comes from callers near this VM. */
  DemandShares demandShares() {
    return demandShares;
  }

  private DemandShares demandShares(
      Map<RegionId, Double> requestsByRegion, Map<FailureDomainId, Double> requestsByDomain) {
    double ofRegion = requestsByRegion.getOrDefault(settings.region(), 0.0);
    double ofDomain = requestsByDomain.getOrDefault(settings.failureDomain(), 0.0);
    double domainsOfRegion = Collections.frequency(settings.regions().values(), settings.region());
    return new DemandShares(
        ofAllRegions(ofRegion, requestsByRegion),
        ofRegion > 0 ? Math.min(1, ofDomain / ofRegion) : 1 / domainsOfRegion);
  }

  /**
   * Returns the own region's part of all requests. A region from which no heartbeat arrives is
   * assumed to have the mean request rate of the others.
   */
  private double ofAllRegions(double ofRegion, Map<RegionId, Double> requestsByRegion) {
    double observedTotal =
        requestsByRegion.values().stream().mapToDouble(Double::doubleValue).sum();
    double estimatedTotal =
        observedTotal / Math.max(1, requestsByRegion.size()) * settings.regionCount();
    // The estimate may be rounded to less than the rate that it was derived from.
    return estimatedTotal > 0
        ? Math.min(1, ofRegion / estimatedTotal)
        : 1.0 / settings.regionCount();
  }

  /** Returns whether callers are sent to this VM. */
  boolean selfServing() {
    return serving.getOrDefault(settings.region(), Set.of()).contains(settings.vm());
  }

  /** Returns the number of other VMs that callers are sent to. */
  int otherServingVms() {
    return serving.values().stream().mapToInt(Set::size).sum() - (selfServing() ? 1 : 0);
  }

  /**
   * Returns whether this VM need not call the store: it is on standby, and an alive VM that serves
   * its region reaches the store and announces changes.
   */
  boolean receivesUpdatesFromPeers(long nowNanos) {
    return selfReady
        && !selfServing()
        && members.aliveMembers(nowNanos).stream()
            .anyMatch(
                member ->
                    member.getServing()
                        && member.getStoreReached()
                        && settings.region().equals(regionOf(member)));
  }

  /**
   * Returns whether this VM looks for changes whose answers to all VMs were lost. Of the serving
   * VMs that hear each other and reach the store, the first by name does so; without any, all do.
   */
  boolean watchesStore(long nowNanos) {
    return selfServing()
        && members.aliveMembers(nowNanos).stream()
            .noneMatch(
                member ->
                    member.getServing()
                        && member.getStoreReached()
                        && member.getVm().compareTo(settings.vm().value()) < 0);
  }

  /** Returns whether any alive VM reaches the store. */
  boolean peersReachStore(long nowNanos) {
    return members.aliveMembers(nowNanos).stream().anyMatch(EntryHeartbeat::getStoreReached);
  }

  /**
   * Returns the VMs that callers in a failure domain are sent to: those that serve its region;
   * while there are none, those on standby there that were heard lately; if the region's VMs have
   * failed, those that serve other regions. Until that is certain, no VM is named, so that callers
   * ask another one: requests with home regions may not leave theirs.
   */
  LookupAnswer servingVms(Optional<FailureDomainId> caller, long nowNanos) {
    RegionId region = caller.map(settings.regions()::get).orElse(settings.region());
    List<InetSocketAddress> serveRegion = new ArrayList<>();
    List<InetSocketAddress> onStandby = new ArrayList<>();
    List<InetSocketAddress> elsewhere = new ArrayList<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      boolean inRegion = region.equals(regionOf(member));
      if (member.getReady() && isServing(member)) {
        (inRegion ? serveRegion : elsewhere).add(PeerAddresses.parse(member.getCallersAddress()));
      } else if (member.getReady() && inRegion && isHeardOften(member)) {
        onStandby.add(PeerAddresses.parse(member.getCallersAddress()));
      }
    }
    boolean inOwnRegion = region.equals(settings.region());
    if (selfReady && selfServing()) {
      (inOwnRegion ? serveRegion : elsewhere).add(settings.endpoints().callers());
    } else if (selfReady && inOwnRegion) {
      onStandby.add(settings.endpoints().callers());
    }
    if (!serveRegion.isEmpty() || !onStandby.isEmpty()) {
      return new LookupAnswer(
          serveRegion.isEmpty() ? onStandby : serveRegion, LookupAnswer.Scope.CALLERS_REGION);
    }
    return elsewhere.isEmpty() || !hasFailed(region, nowNanos)
        ? LookupAnswer.noVm()
        : new LookupAnswer(elsewhere, LookupAnswer.Scope.OTHER_REGIONS);
  }

  /**
   * Returns whether a failure of the VM is noticed within seconds. VMs on standby in other domains
   * count as alive for much longer.
   */
  private static boolean isHeardOften(EntryHeartbeat member) {
    return member.getIntervalMillis() <= HeartbeatSchedule.STANDBY_INTERVAL_MS;
  }

  private boolean isServing(EntryHeartbeat member) {
    // Heartbeats of other domains' VMs on standby are rare, so for other domains the serving state
    // in their heartbeats is newer than the set computed here.
    return isInOwnDomain(member)
        ? serving.getOrDefault(regionOf(member), Set.of()).contains(new VmId(member.getVm()))
        : member.getServing();
  }

  /**
   * Returns whether no VM has served a region for long, although others were heard. Without
   * heartbeats from others, this VM may be the one that receives nothing; soon after its start, the
   * first heartbeats may still be under way.
   */
  private boolean hasFailed(RegionId region, long nowNanos) {
    OptionalLong served =
        members.contact(member -> region.equals(regionOf(member)), nowNanos).servedNanos();
    long upNanos = nowNanos - startedNanos;
    long unservedNanos = Math.min(upNanos, served.orElse(upNanos));
    OptionalLong othersSilentNanos =
        members.contact(member -> !region.equals(regionOf(member)), nowNanos).silentNanos();
    return unservedNanos >= MAX_REGION_SILENCE_NANOS
        || (othersSilentNanos.isPresent()
            && unservedNanos - othersSilentNanos.getAsLong() >= REGION_FAILURE_NANOS);
  }

  /**
   * Returns the alive VMs that serve and the number of suspected ones. This VM counts as serving
   * while it is leaving, since it still gets requests for a while.
   */
  ColdStartLimiter.Peers peers(boolean leaving, long nowNanos) {
    List<ColdStartLimiter.Peer> servingPeers = new ArrayList<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      RegionId region = regionOf(member);
      if (region != null && member.getServing()) {
        servingPeers.add(new ColdStartLimiter.Peer(new VmId(member.getVm()), region));
      }
    }
    return new ColdStartLimiter.Peers(
        servingPeers, members.suspectedCount(nowNanos), leaving || selfServing());
  }

  /**
   * Returns the number of VMs that share the retry reserve, including this VM, or 0 if callers are
   * not sent to this VM. While a member is not heard, VMs on standby may have begun to serve beyond
   * a partition, so all members count.
   */
  int retrySharers(boolean leaving, long nowNanos) {
    ColdStartLimiter.Peers peers = peers(leaving, nowNanos);
    if (!peers.selfServing()) {
      return 0;
    }
    return members.isAnyUnheard(nowNanos)
        ? 1 + members.size()
        : 1 + peers.alive().size() + peers.suspectedCount();
  }

  /**
   * Returns what the other VMs claim of each customer's rate. A VM whose heartbeats do not arrive
   * may still run, so its last claim still counts; that VM counts the last claim of this one
   * likewise. The claim of a VM that is leaving counts while it may send requests.
   */
  Map<CustomerId, List<RateShares.Claim>> claims(Collection<CustomerId> customers, long nowNanos) {
    Map<CustomerId, List<RateShares.Claim>> claims = new HashMap<>();
    for (EntryHeartbeat member : members.latestHeartbeats(nowNanos)) {
      ClaimCodec.decode(member.getClaimsList(), member.getServing(), customers)
          .forEach(
              (customer, claim) ->
                  claims.computeIfAbsent(customer, id -> new ArrayList<>()).add(claim));
    }
    return claims;
  }

  /** Logs which VMs have become alive, or are no longer alive, since the last call. */
  void logChanges(long nowNanos) {
    Set<VmId> alive = new HashSet<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      VmId vm = new VmId(member.getVm());
      alive.add(vm);
      if (!aliveBefore.contains(vm)) {
        log.event("member-heard", "member", vm, "incarnation", member.getIncarnation());
      }
    }
    for (VmId vm : aliveBefore) {
      if (!alive.contains(vm)) {
        log.event("member-lost", "member", vm);
      }
    }
    aliveBefore = alive;
  }

  private boolean isInOwnDomain(EntryHeartbeat member) {
    return settings.failureDomain().value().equals(member.getFailureDomain());
  }

  private RegionId regionOf(EntryHeartbeat member) {
    return settings.regions().get(new FailureDomainId(member.getFailureDomain()));
  }
}
