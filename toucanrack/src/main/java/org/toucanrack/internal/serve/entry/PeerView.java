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
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.ClaimCodec;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.ServingSet;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.steering.EntrySettings;

/** What the other VMs are to look-ups, cold servers and rates. Confined to the control thread. */
final class PeerView {

  private final EntrySettings settings;
  private final MemberTable members;
  private final DecisionLog log;
  private final Map<RegionId, Set<VmId>> serving = new HashMap<>();
  private Set<VmId> presentBefore = new HashSet<>();
  private boolean selfReady;
  private double ownRequestsPerSecond;
  private double ownDemandShare;

  PeerView(EntrySettings settings, MemberTable members, DecisionLog log) {
    this.settings = settings;
    this.members = members;
    this.log = log;
  }

  /** Learns how many requests this VM has. */
  void updateOwnRequestsPerSecond(double requestsPerSecond) {
    ownRequestsPerSecond = requestsPerSecond;
  }

  /** Chooses anew which VMs serve each region. */
  void refresh(boolean isSelfReady, long nowNanos) {
    selfReady = isSelfReady;
    final boolean servedBefore = selfServing();
    Map<RegionId, List<ServingSet.Candidate>> candidates = new HashMap<>();
    Map<RegionId, Double> requestsPerSecond = new HashMap<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      RegionId region = regionOf(member);
      if (region == null) {
        continue;
      }
      requestsPerSecond.merge(region, (double) member.getRequestsPerSecond(), Double::sum);
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
    ownDemandShare = ownDemandShare(requestsPerSecond);
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

  /** Returns the capacity as heartbeats tell it, so that all VMs compare the same numbers. */
  static int requestCapacity(EntrySettings settings) {
    return (int) Math.max(1, settings.requestCapacity());
  }

  /** Regions of which no VM is heard count as much as the mean of the others. */
  private double ownDemandShare(Map<RegionId, Double> requestsPerSecond) {
    double presentTotal =
        requestsPerSecond.values().stream().mapToDouble(Double::doubleValue).sum();
    double estimatedTotal = presentTotal / requestsPerSecond.size() * settings.regionCount();
    return estimatedTotal > 0
        ? requestsPerSecond.get(settings.region()) / estimatedTotal
        : 1.0 / settings.regionCount();
  }

  /** Returns the part of the requests of all regions that the own region has. */
  double ownDemandShare() {
    return ownDemandShare;
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
   * Returns whether this VM may leave the store to others: it stands by, and a serving VM of its
   * region that is heard reaches the store and tells what changes.
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

  /** Returns whether a VM that is heard reaches the store. */
  boolean peersReachStore(long nowNanos) {
    return members.aliveMembers(nowNanos).stream().anyMatch(EntryHeartbeat::getStoreReached);
  }

  /** Returns the callers' addresses of serving VMs in the region of a domain, else of all. */
  List<InetSocketAddress> servingVms(Optional<FailureDomainId> caller, long nowNanos) {
    RegionId region = caller.map(settings.regions()::get).orElse(settings.region());
    List<InetSocketAddress> inRegion = new ArrayList<>();
    List<InetSocketAddress> all = new ArrayList<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      RegionId memberRegion = regionOf(member);
      // What distant VMs tell of themselves is newer than what is known of all VMs there.
      boolean isServing =
          member.getReady()
              && (settings.region().equals(memberRegion)
                  ? serving.getOrDefault(memberRegion, Set.of()).contains(new VmId(member.getVm()))
                  : member.getServing());
      if (isServing) {
        InetSocketAddress address = PeerAddresses.parse(member.getCallersAddress());
        all.add(address);
        if (region.equals(memberRegion)) {
          inRegion.add(address);
        }
      }
    }
    if (selfReady && selfServing()) {
      all.add(settings.endpoints().callers());
      if (region.equals(settings.region())) {
        inRegion.add(settings.endpoints().callers());
      }
    }
    return inRegion.isEmpty() ? all : inRegion;
  }

  /** Returns the serving VMs that may have tokens to spare, of this region if there are any. */
  List<InetSocketAddress> lenders(long nowNanos) {
    List<EntryHeartbeat> servingMembers =
        members.aliveMembers(nowNanos).stream().filter(EntryHeartbeat::getServing).toList();
    List<EntryHeartbeat> inRegion =
        servingMembers.stream()
            .filter(member -> settings.region().equals(regionOf(member)))
            .toList();
    List<InetSocketAddress> lenders = new ArrayList<>();
    (inRegion.isEmpty() ? servingMembers : inRegion)
        .forEach(member -> lenders.add(PeerAddresses.parse(member.getPeersAddress())));
    Collections.shuffle(lenders, ThreadLocalRandom.current());
    return lenders;
  }

  /**
   * Returns the serving VMs that are heard and how many may run unheard. A VM that is leaving still
   * has requests for a while.
   */
  ColdStartLimiter.Peers peers(boolean leaving, long nowNanos) {
    List<ColdStartLimiter.Peer> heard = new ArrayList<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      RegionId region = regionOf(member);
      if (region != null && member.getServing()) {
        heard.add(new ColdStartLimiter.Peer(new VmId(member.getVm()), region));
      }
    }
    return new ColdStartLimiter.Peers(
        heard, members.suspectedCount(nowNanos), leaving || selfServing());
  }

  /**
   * Returns what the other VMs claim of each customer's rate. A VM that is not heard may still run
   * and keeps what it claimed last, as this one does there.
   */
  Map<CustomerId, List<RateShares.Claim>> claims(Collection<CustomerId> customers) {
    Map<CustomerId, List<RateShares.Claim>> claims = new HashMap<>();
    for (EntryHeartbeat member : members.latestHeartbeats()) {
      ClaimCodec.decode(member.getClaimsList(), member.getServing(), customers)
          .forEach(
              (customer, claim) ->
                  claims.computeIfAbsent(customer, id -> new ArrayList<>()).add(claim));
    }
    return claims;
  }

  /** Logs which VMs are heard anew and which no longer. */
  void logChanges(long nowNanos) {
    Set<VmId> present = new HashSet<>();
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      VmId vm = new VmId(member.getVm());
      present.add(vm);
      if (!presentBefore.contains(vm)) {
        log.event("member-heard", "member", vm, "incarnation", member.getIncarnation());
      }
    }
    for (VmId vm : presentBefore) {
      if (!present.contains(vm)) {
        log.event("member-lost", "member", vm);
      }
    }
    presentBefore = present;
  }

  private RegionId regionOf(EntryHeartbeat member) {
    return settings.regions().get(new FailureDomainId(member.getFailureDomain()));
  }
}
