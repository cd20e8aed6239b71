package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.ClaimCodec;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.RetryReservePart;
import org.toucanrack.internal.serve.entry.TrafficBytes.Purpose;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.SharedTable;

/**
 * Sends heartbeats with this VM's state, its claims of customers' rates and its trial evidence to
 * the other VMs. Confined to the control thread.
 */
final class HeartbeatSender {

  /**
   * Heartbeat interval. Other VMs detect failures by it; traffic between failure domains is costly,
   * so it is not shorter.
   */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** Interval of claims to VMs on standby, which need them when they start to serve. */
  private static final long STANDBY_CLAIM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Minimum interval of the extra heartbeats that announce changes of servers at once. */
  private static final long MIN_CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * With fewer serving VMs than this, claims go into every heartbeat; each further multiple of it
   * adds one heartbeat interval to the claim interval.
   */
  private static final int VMS_PER_CLAIM_INTERVAL = 25;

  private final EntrySettings settings;
  private final SharedTableReplica replica;
  private final MemberTable members;
  private final RolloutCoordinator rollouts;
  private final Network link;
  private final long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private Map<CustomerId, RateShares.Claim> claims = Map.of();
  private long sequence;
  private long sentNanos;
  private long claimsSentNanos;
  private long standbyClaimsSentNanos;
  private final HeartbeatSchedule schedule;
  private final HeartbeatForms forms = new HeartbeatForms();
  private long sentServersRevision;
  private boolean ready;
  private boolean leaving;
  private boolean serving;
  private boolean storeReached;
  private double requestsPerSecond;
  private Consumer<EntryHeartbeat.Builder> usageFields = heartbeat -> {};

  /** Sends datagrams to other VMs. */
  interface Network {

    /** Sends a datagram; delivery is not guaranteed. */
    void send(Purpose purpose, byte[] datagram, InetSocketAddress target);
  }

  HeartbeatSender(
      EntrySettings settings,
      SharedTableReplica replica,
      MemberTable members,
      RolloutCoordinator rollouts,
      Network link,
      long nowNanos) {
    this.settings = settings;
    this.replica = replica;
    this.members = members;
    this.rollouts = rollouts;
    this.link = link;
    this.schedule = new HeartbeatSchedule(nowNanos);
  }

  void updateTraffic(Map<CustomerId, RateShares.Claim> newClaims, double newRequestsPerSecond) {
    claims = newClaims;
    requestsPerSecond = newRequestsPerSecond;
  }

  /** Sets what adds the fields of usage reports to each heartbeat. */
  void setUsageFields(Consumer<EntryHeartbeat.Builder> newUsageFields) {
    usageFields = newUsageFields;
  }

  /** Sends a heartbeat with the claims now, although they are not due yet. */
  void sendClaims(long nowNanos) {
    claimsSentNanos = nowNanos - claimIntervalNanos(members.size());
    send(nowNanos);
  }

  /** Returns this VM's claims that the traffic thread measured last. */
  Map<CustomerId, RateShares.Claim> ownClaims() {
    return claims;
  }

  void setReady(boolean isReady) {
    ready = isReady;
  }

  /** Sets whether callers are sent to this VM; a change is sent to all other VMs at once. */
  void updateServing(boolean isServing, long nowNanos) {
    if (serving != isServing) {
      serving = isServing;
      schedule.restart(nowNanos);
      send(nowNanos);
    }
  }

  void setStoreReached(boolean isReached) {
    storeReached = isReached;
  }

  void markLeaving() {
    leaving = true;
  }

  /** Returns whether the next heartbeat is due or a change of servers is to be announced. */
  boolean isDue(long nowNanos) {
    long elapsedNanos = nowNanos - sentNanos;
    boolean serversChanged =
        serving && sentServersRevision != replica.newestRevision(SharedTable.SERVERS);
    return elapsedNanos >= INTERVAL_NANOS
        || (serversChanged && elapsedNanos > MIN_CHANGE_INTERVAL_NANOS);
  }

  /** Sends a heartbeat to each other VM for which one is due. */
  void send(long nowNanos) {
    sentNanos = nowNanos;
    sentServersRevision = replica.newestRevision(SharedTable.SERVERS);
    Map<InetSocketAddress, Optional<EntryHeartbeat>> targets = members.heartbeatTargets();
    settings.endpoints().knownPeers().forEach(peer -> targets.putIfAbsent(peer, Optional.empty()));
    targets.remove(settings.endpoints().peers());
    final boolean claimsDue = nowNanos - claimsSentNanos >= claimIntervalNanos(servingVms(targets));
    final boolean standbyClaimsDue =
        nowNanos - standbyClaimsSentNanos >= STANDBY_CLAIM_INTERVAL_NANOS;
    claimsSentNanos = claimsDue ? nowNanos : claimsSentNanos;
    standbyClaimsSentNanos = standbyClaimsDue ? nowNanos : standbyClaimsSentNanos;
    schedule.begin(serving, leaving, nowNanos);
    forms.retain(targets.keySet());
    List<Integer> encodedClaims = ClaimCodec.encode(claimsToSend());
    OptionalInt digest =
        encodedClaims.isEmpty()
            ? OptionalInt.empty()
            : OptionalInt.of(ShortHeartbeats.customersDigest(encodedClaims));
    HeartbeatDatagrams datagrams = new HeartbeatDatagrams(newHeartbeat(nowNanos), encodedClaims);
    targets.forEach(
        (target, lastHeartbeat) -> {
          boolean targetServes = lastHeartbeat.map(EntryHeartbeat::getServing).orElse(true);
          boolean withClaims = !serving || (targetServes ? claimsDue : standbyClaimsDue);
          HeartbeatSchedule.Recipient recipient = recipient(lastHeartbeat);
          schedule
              .dueInterval(recipient)
              .ifPresent(
                  interval ->
                      link.send(
                          Purpose.HEARTBEATS,
                          datagrams.encode(
                              interval,
                              forms.next(
                                  target,
                                  // Bytes within a failure domain are cheap.
                                  lastHeartbeat.filter(heard -> !recipient.inOwnDomain()),
                                  withClaims ? digest : OptionalInt.empty(),
                                  nowNanos)),
                          target));
        });
  }

  private HeartbeatSchedule.Recipient recipient(Optional<EntryHeartbeat> lastHeartbeat) {
    return lastHeartbeat
        .map(
            member ->
                new HeartbeatSchedule.Recipient(
                    settings.failureDomain().value().equals(member.getFailureDomain()),
                    isInOwnRegion(member),
                    member.getServing()))
        .orElse(HeartbeatSchedule.Recipient.UNKNOWN);
  }

  /** Returns the claims to send; a VM on standby leaves out the shares that it has given up. */
  private Map<CustomerId, RateShares.Claim> claimsToSend() {
    if (serving) {
      return claims;
    }
    Map<CustomerId, RateShares.Claim> nonZeroClaims = new HashMap<>(claims);
    nonZeroClaims.values().removeIf(claim -> claim.share() == 0);
    return nonZeroClaims;
  }

  private boolean isInOwnRegion(EntryHeartbeat member) {
    return settings
        .region()
        .equals(settings.regions().get(new FailureDomainId(member.getFailureDomain())));
  }

  private static int servingVms(Map<InetSocketAddress, Optional<EntryHeartbeat>> targets) {
    return (int)
        targets.values().stream()
            .filter(lastHeartbeat -> lastHeartbeat.map(EntryHeartbeat::getServing).orElse(false))
            .count();
  }

  /** Sends a heartbeat without claims to a VM from which the first heartbeat arrived. */
  void reply(EntryHeartbeat first, InetSocketAddress target, long nowNanos) {
    int interval = schedule.interval(recipient(Optional.of(first)));
    link.send(
        Purpose.HEARTBEATS,
        HeartbeatDatagrams.whole(newHeartbeat(nowNanos).setIntervalMillis(interval)),
        target);
  }

  /** Sends whole heartbeats to a VM again that could not read a short one, the first at once. */
  void replyWhole(EntryHeartbeat request, InetSocketAddress target, long nowNanos) {
    forms.reset(target);
    reply(request, target, nowNanos);
  }

  /**
   * Asks a VM for a whole heartbeat. Its failure domain is not known, but only VMs of other domains
   * send short ones.
   */
  void requestWhole(EntryHeartbeat unread, InetSocketAddress target, long nowNanos) {
    int interval =
        schedule.interval(new HeartbeatSchedule.Recipient(false, false, unread.getServing()));
    link.send(
        Purpose.HEARTBEATS,
        HeartbeatDatagrams.whole(
            newHeartbeat(nowNanos).setIntervalMillis(interval).setNeedsWhole(true)),
        target);
  }

  /** Sends a heartbeat without claims, with parts of this VM's retry reserve by service. */
  void sendRetryReserve(Map<ServiceId, Double> attempts, InetSocketAddress target, long nowNanos) {
    EntryHeartbeat.Builder heartbeat = newHeartbeat(nowNanos);
    attempts.forEach(
        (service, part) ->
            heartbeat.addRetryReserve(
                RetryReservePart.newBuilder().setService(service.value()).setAttempts(part)));
    link.send(Purpose.RETRY_RESERVE, HeartbeatDatagrams.whole(heartbeat), target);
  }

  /** Returns a heartbeat without claims. */
  EntryHeartbeat.Builder newHeartbeat(long nowNanos) {
    EntryHeartbeat.Builder heartbeat =
        EntryHeartbeat.newBuilder()
            .setVm(settings.vm().value())
            .setIncarnation(incarnation)
            .setSequence(++sequence)
            .setFailureDomain(settings.failureDomain().value())
            .setCallersAddress(PeerAddresses.format(settings.endpoints().callers()))
            .setPeersAddress(PeerAddresses.format(settings.endpoints().peers()))
            .setReady(ready)
            .setLeaving(leaving)
            .setOrdersRevision(currentRevision(SharedTable.ORDERS))
            .setServersRevision(currentRevision(SharedTable.SERVERS))
            .setReportsRevision(currentRevision(SharedTable.REPORTS))
            .setRequestCapacity(PeerView.requestCapacity(settings))
            .setRequestsPerSecond((int) Math.ceil(requestsPerSecond))
            .setServing(serving)
            .setStoreReached(storeReached)
            .setStoreEpoch(replica.epoch().number())
            .setReadsShort(true);
    rollouts.addEvidenceTo(heartbeat, nowNanos);
    usageFields.accept(heartbeat);
    return heartbeat;
  }

  /** Returns the newest revision of a table; 0 if it has not been read in the current epoch. */
  private long currentRevision(SharedTable table) {
    return replica.isCurrent(table) ? replica.newestRevision(table) : 0;
  }

  /** Returns the time between two claims of a VM, less the timer tolerance. */
  static long claimIntervalNanos(int servingVms) {
    return INTERVAL_NANOS * (1 + servingVms / VMS_PER_CLAIM_INTERVAL)
        - TimeUnit.MILLISECONDS.toNanos(HeartbeatSchedule.TIMER_TOLERANCE_MS);
  }
}
