package org.toucanrack.internal.coordination.steer;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.steering.ServiceRule;

/**
 * Decides whether this VM may send to a cold server, so that all VMs together stay below what it
 * bears.
 *
 * <p>One VM, the owner, sends to a cold server; all VMs compute the same one from the members they
 * hear, of the server's own region if there are any. VMs that are not heard may believe that they
 * are the owner too, so the bound is divided by their number. A VM that has just started sends
 * nothing to cold servers for one second: what VMs that are gone sent in that second is not known
 * to it, nor are the other VMs. Stateless apart from its settings; thread-safe.
 */
public final class ColdStartLimiter {

  /** Part of a cold server's rate that one owner uses. */
  private static final double OWNER_RATE_FRACTION = 0.8;

  /** The rate of a cold server is a bound on the requests of one second. */
  private static final long STARTUP_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final VmId self;
  private final RegionId region;
  private final double overshootFactor;
  private final double reserveRequests;
  private final long startedNanos;

  /**
   * Creates a guard.
   *
   * @param overshootFactor factor on the rate that a cold server bears within a second
   * @param reserveRequests requests beyond the factor
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
   * @param vm its name
   * @param region where it stands
   */
  public record Peer(VmId vm, RegionId region) {}

  /**
   * The other VMs that callers are sent to.
   *
   * @param alive those that are heard now, without this one
   * @param suspectedCount number of those that may run but are not heard
   * @param selfServing whether callers are sent to this VM
   */
  public record Peers(List<Peer> alive, int suspectedCount, boolean selfServing) {

    /** No other VM is known. */
    public static final Peers NONE = new Peers(List.of(), 0, true);

    /** Copies the list. */
    public Peers {
      alive = List.copyOf(alive);
    }
  }
}
