package org.toucanrack.internal.coordination.steer;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.ServiceRule;

/**
 * Limits the requests that this VM sends to cold servers, so that all VMs together stay below the
 * rate that a cold server tolerates.
 *
 * <p>Only one VM, the owner, sends to a cold server. All VMs compute the same owner by rendezvous
 * hashing over the live members, with members in the server's own region taking precedence.
 * Suspected members may consider themselves the owner too, so the bound is divided by their number.
 * A VM sends nothing to cold servers for one second after its start, since it knows neither the
 * other VMs nor what VMs that have stopped sent within that second. Immutable and thread-safe.
 */
public final class ColdStartLimiter {

  /** Fraction of a cold server's rate that its owner uses. */
  private static final double OWNER_RATE_FRACTION = 0.8;

  /** Equal to the one-second window over which the rate of a cold server is bounded. */
  private static final long STARTUP_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final VmId self;
  private final RegionId region;
  private final double overshootFactor;
  private final double reserveRequests;
  private final long startedNanos;

  /**
   * Creates a limiter.
   *
   * @param overshootFactor allowed factor on the request rate of a cold server
   * @param reserveRequests requests allowed in one second on top of that
   * @param startedNanos when this VM started
   */
  public ColdStartLimiter(
      VmId self,
      RegionId region,
      double overshootFactor,
      double reserveRequests,
      long startedNanos) {
    this.self = self;
    this.region = region;
    this.overshootFactor = overshootFactor;
    this.reserveRequests = reserveRequests;
    this.startedNanos = startedNanos;
  }

  /** Returns whether one more request may be sent to the server now. */
  public boolean maySend(ServerState server, ServiceRule rule, Peers peers, long nowNanos) {
    boolean onStandby = !peers.selfServing() && !peers.alive().isEmpty();
    boolean justStarted = nowNanos - startedNanos < STARTUP_PAUSE_NANOS;
    if (justStarted || onStandby || !isOwner(server, peers)) {
      return false;
    }
    double bound = rule.coldRequestsPerSecond() * overshootFactor + reserveRequests;
    int owners = 1 + peers.suspectedCount();
    int maxSends =
        (int)
            Math.min(
                rule.coldRequestsPerSecond() * OWNER_RATE_FRACTION,
                Math.floor((bound - 1) / owners));
    return server.recentColdSends(nowNanos) < maxSends;
  }

  private boolean isOwner(ServerState server, Peers peers) {
    boolean ownedByServerRegion =
        region.equals(server.region())
            || peers.alive().stream().anyMatch(peer -> peer.region().equals(server.region()));
    if (ownedByServerRegion && !region.equals(server.region())) {
      return false;
    }
    long ownScore = StableHash.score(StableHash.hash(self.value()), server.hash());
    for (Peer peer : peers.alive()) {
      boolean competes = !ownedByServerRegion || peer.region().equals(server.region());
      if (competes
          && StableHash.score(StableHash.hash(peer.vm().value()), server.hash()) > ownScore) {
        return false;
      }
    }
    return true;
  }

  /**
   * Another VM.
   *
   * @param vm its id
   * @param region the region that it runs in
   */
  public record Peer(VmId vm, RegionId region) {}

  /**
   * The other VMs that callers are sent to.
   *
   * @param alive members whose heartbeats arrive, without this VM
   * @param suspectedCount number of members that may be running although no heartbeats arrive
   * @param selfServing whether callers are sent to this VM
   */
  public record Peers(List<Peer> alive, int suspectedCount, boolean selfServing) {

    /** No other VMs. */
    public static final Peers NONE = new Peers(List.of(), 0, true);

    /** Copies the list. */
    public Peers {
      alive = List.copyOf(alive);
    }
  }
}
