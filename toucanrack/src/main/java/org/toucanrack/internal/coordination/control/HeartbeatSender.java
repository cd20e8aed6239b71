package org.toucanrack.internal.coordination.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.protocol.generated.Heartbeat;
import org.toucanrack.internal.protocol.generated.KnownRow;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.ReleasedResource;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.MemberInfoCodec;

/**
 * Sends heartbeats: to the relay; to all members of the failure domain while this VM cannot rely on
 * the relay; as relay, to the relays of other failure domains. Confined to the control thread.
 */
final class HeartbeatSender {

  private final ControlState state;
  private final RowWriter writer;
  private final Set<String> discoveredAddresses = new LinkedHashSet<>();
  private Map<ResourceId, Long> released = Map.of();
  private long renewalCounter;
  private long nextRoundNanos;
  private long nextOtherDomainsNanos;
  private long nextDiscoveryNanos;

  HeartbeatSender(
      ControlState state, RowWriter writer, Collection<String> seedPeers, long nowNanos) {
    this.state = state;
    this.writer = writer;
    this.discoveredAddresses.addAll(seedPeers);
    this.nextRoundNanos = nowNanos;
    this.nextOtherDomainsNanos = nowNanos;
    this.nextDiscoveryNanos = nowNanos;
  }

  /** Sets the resources, with their epochs, that heartbeats report as released. */
  void setReleased(Map<ResourceId, Long> resources) {
    released = Map.copyOf(resources);
  }

  /** Adds addresses of peers that may not be known as members yet. */
  void addDiscovered(Collection<String> addresses) {
    discoveredAddresses.addAll(addresses);
  }

  /**
   * Returns the addresses of the peers whose configuration versions decide whether this VM is ready
   * while the store is unreachable.
   */
  Set<String> peerAddresses() {
    Set<String> addresses = new LinkedHashSet<>(discoveredAddresses);
    state.localPeers().forEach(member -> addresses.add(member.peersAddress()));
    addresses.remove(state.self().peersAddress());
    return addresses;
  }

  void tick(long nowNanos, ActionBuffer actions) {
    if (nowNanos - nextRoundNanos < 0) {
      return;
    }
    nextRoundNanos = nowNanos + ControlTimings.HEARTBEAT_PERIOD_NANOS;
    renewalCounter++;
    state.leaseTracker.heartbeatSent(renewalCounter, nowNanos);
    writer.observeMember(state.self(), renewalCounter, state.configuration.version(), nowNanos);
    Map<String, PeerCall> calls = new LinkedHashMap<>();
    addLocalPeers(calls, nowNanos);
    addUnknownPeers(calls, nowNanos);
    addOtherDomains(calls, nowNanos);
    calls.remove(state.self().peersAddress());
    Member relay = state.relay();
    calls.values().forEach(call -> actions.add(request(call, relay)));
  }

  private void addLocalPeers(Map<String, PeerCall> calls, long nowNanos) {
    Member relay = state.relay();
    boolean contactAll = state.mustBypassRelay(nowNanos);
    for (Member member : state.localPeers()) {
      boolean isRelay = member.incarnation().equals(relay.incarnation());
      if (isRelay
          || contactAll
          || state.peerReachability.isRetryDue(member.peersAddress(), nowNanos)) {
        add(calls, member);
      }
    }
  }

  private static void add(Map<String, PeerCall> calls, Member member) {
    calls.put(member.peersAddress(), PeerCall.to(PeerCall.Kind.HEARTBEAT, member));
  }

  private void addUnknownPeers(Map<String, PeerCall> calls, long nowNanos) {
    boolean starting = !state.readiness.isReady() || state.ownRow().isEmpty();
    boolean due = state.isRelay() && nowNanos - nextDiscoveryNanos >= 0;
    if (!starting && !due) {
      return;
    }
    nextDiscoveryNanos = nowNanos + ControlTimings.VM_LIST_PERIOD_NANOS;
    Set<String> unknown = new LinkedHashSet<>(discoveredAddresses);
    if (!starting) {
      state.rows.members().values().forEach(member -> unknown.remove(member.peersAddress()));
    }
    unknown.forEach(
        address ->
            calls.putIfAbsent(
                address, new PeerCall(PeerCall.Kind.HEARTBEAT, address, Optional.empty())));
  }

  private void addOtherDomains(Map<String, PeerCall> calls, long nowNanos) {
    boolean due = nowNanos - nextOtherDomainsNanos >= 0 || state.store.hasFailed();
    if (!due || !state.isRelay()) {
      return;
    }
    nextOtherDomainsNanos = nowNanos + ControlTimings.OTHER_DOMAINS_HEARTBEAT_PERIOD_NANOS;
    for (DomainRows.VersionedRow known : List.copyOf(state.rows.all())) {
      FailureDomainId domain = known.row().failureDomain();
      if (!domain.equals(state.domain())) {
        state
            .rows
            .relay(domain, member -> isSkipped(member, nowNanos))
            .or(() -> state.rows.relayOrder(domain).stream().findFirst())
            .ifPresent(member -> add(calls, member));
      }
    }
  }

  private boolean isSkipped(Member member, long nowNanos) {
    return state.peerReachability.isSuspect(member.peersAddress())
        && !state.peerReachability.isRetryDue(member.peersAddress(), nowNanos);
  }

  private ControlAction request(PeerCall call, Member relay) {
    boolean toRelay =
        call.target().filter(to -> to.incarnation().equals(relay.incarnation())).isPresent();
    Heartbeat.Builder heartbeat =
        Heartbeat.newBuilder()
            .setSender(MemberInfoCodec.encode(state.self()))
            .setRenewalCounter(renewalCounter)
            .setConfigurationVersion(state.configuration.version())
            .setStoreReachable(state.store.isReachable())
            .setRecordsDigest(state.records.digest())
            .setToRelay(toRelay);
    state
        .ownRow()
        .ifPresent(
            known ->
                heartbeat
                    .setRowGeneration(known.row().generation())
                    .setRowVersion(known.version()));
    released.forEach(
        (resource, epoch) ->
            heartbeat.addReleased(
                ReleasedResource.newBuilder().setResource(resource.value()).setEpoch(epoch)));
    addKnownRows(heartbeat, call.target());
    return new ControlAction.Request(
        call,
        PeerEnvelope.newBuilder().setHeartbeat(heartbeat).build(),
        ControlTimings.PEER_TIMEOUT_MILLIS);
  }

  /**
   * Adds the known generations, so that the answer contains newer rows only. A member of another
   * failure domain answers with its own row only.
   */
  private void addKnownRows(Heartbeat.Builder heartbeat, Optional<Member> target) {
    Optional<FailureDomainId> other =
        target.map(Member::failureDomain).filter(domain -> !domain.equals(state.domain()));
    for (DomainRows.VersionedRow known : state.rows.all()) {
      FailureDomainId domain = known.row().failureDomain();
      if (!domain.equals(state.domain()) && other.map(domain::equals).orElse(true)) {
        heartbeat.addKnownRows(
            KnownRow.newBuilder()
                .setFailureDomain(domain.value())
                .setGeneration(known.row().generation()));
      }
    }
  }
}
