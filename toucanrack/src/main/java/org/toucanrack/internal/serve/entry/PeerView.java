package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.ClaimCodec;
import org.toucanrack.internal.coordination.steer.ColdGuard;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.steering.EntrySettings;

/** What the other VMs are to look-ups, cold servers and rates. Confined to the control thread. */
final class PeerView {

  private final EntrySettings settings;
  private final MemberTable members;
  private final DecisionLog log;
  private Set<VmId> heardBefore = new HashSet<>();

  PeerView(EntrySettings settings, MemberTable members, DecisionLog log) {
    this.settings = settings;
    this.members = members;
    this.log = log;
  }

  /** Returns the callers' addresses of ready VMs in the region of a failure domain, else of all. */
  List<InetSocketAddress> readyVms(
      Optional<FailureDomainId> caller, boolean selfReady, long nowNanos) {
    RegionId region = caller.map(settings.regions()::get).orElse(settings.region());
    List<InetSocketAddress> near = new ArrayList<>();
    List<InetSocketAddress> all = new ArrayList<>();
    for (EntryHeartbeat member : members.present(nowNanos)) {
      if (member.getReady()) {
        InetSocketAddress address = PeerAddresses.parse(member.getCallersAddress());
        all.add(address);
        if (region.equals(regionOf(member))) {
          near.add(address);
        }
      }
    }
    if (selfReady) {
      all.add(settings.listen().callers());
      if (region.equals(settings.region())) {
        near.add(settings.listen().callers());
      }
    }
    return near.isEmpty() ? all : near;
  }

  /** Returns the VMs that are heard and how many may run unheard. */
  ColdGuard.Peers peers(long nowNanos) {
    List<ColdGuard.Peer> heard = new ArrayList<>();
    for (EntryHeartbeat member : members.present(nowNanos)) {
      RegionId region = regionOf(member);
      if (region != null) {
        heard.add(new ColdGuard.Peer(new VmId(member.getVm()), region));
      }
    }
    return new ColdGuard.Peers(heard, members.unheard(nowNanos));
  }

  /**
   * Returns what the other VMs claim of each customer's rate. A VM that is not heard may still run
   * and keeps what it claimed last, as this one does there.
   */
  Map<CustomerId, List<RateShares.Claim>> claims(Collection<CustomerId> customers) {
    Map<CustomerId, List<RateShares.Claim>> claims = new HashMap<>();
    for (EntryHeartbeat member : members.known()) {
      ClaimCodec.decode(member.getClaimsList(), customers)
          .forEach(
              (customer, claim) ->
                  claims.computeIfAbsent(customer, id -> new ArrayList<>()).add(claim));
    }
    return claims;
  }

  /** Logs which VMs are heard anew and which no longer. */
  void logChanges(long nowNanos) {
    Set<VmId> heard = new HashSet<>();
    for (EntryHeartbeat member : members.present(nowNanos)) {
      VmId vm = new VmId(member.getVm());
      heard.add(vm);
      if (!heardBefore.contains(vm)) {
        log.event("member-heard", "member", vm, "incarnation", member.getIncarnation());
      }
    }
    for (VmId vm : heardBefore) {
      if (!heard.contains(vm)) {
        log.event("member-lost", "member", vm);
      }
    }
    heardBefore = heard;
  }

  private RegionId regionOf(EntryHeartbeat member) {
    return settings.regions().get(new FailureDomainId(member.getFailureDomain()));
  }
}
