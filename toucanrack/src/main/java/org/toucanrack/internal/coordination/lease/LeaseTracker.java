package org.toucanrack.internal.coordination.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.state.LeaseView;

/**
 * The holder's view of its own lease, by its monotonic clock.
 *
 * <p>Invariants: the lease ends one lease length after the moment before the heartbeat was sent
 * whose counter a written row includes. After a pause the holder is fenced until the row was read
 * or a peer of its failure domain was heard by a request sent after the pause. After a pause in
 * which a takeover was possible, isolated mode needs answers of all members until the row was read.
 * Not thread-safe.
 */
public final class LeaseTracker {

  /** Length of a lease. */
  public static final long LEASE_NANOS = 10_000_000_000L;

  /** Age up to which reports of peers count for isolated mode. */
  public static final long MAX_PEER_EVIDENCE_AGE_NANOS = 3_000_000_000L;

  /** Age up to which a failed attempt to reach the store counts; attempts take up to 2 s each. */
  public static final long MAX_STORE_EVIDENCE_AGE_NANOS = 5_000_000_000L;

  /**
   * Longest pause after which a member that does not answer may be ignored. In a longer one it may
   * have taken resources over; a takeover needs a whole lease without a sign of this VM, and the
   * last sign may be some seconds older than the pause.
   */
  public static final long MAX_SHORT_PAUSE_NANOS = 5_000_000_000L;

  private final Incarnation self;
  private final Deque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
  private final Map<Incarnation, PeerReport> peerReports = new HashMap<>();
  private long validUntilNanos;
  private boolean heldLease;
  private long lastTickNanos;
  private boolean fenced;
  private long fencedAtNanos;
  private boolean takeoverPossible;
  private long rowVersion;
  private StoreAttempt lastStoreAttempt;

  /** Creates the view of a VM that has no lease yet. */
  public LeaseTracker(Incarnation self, long nowNanos) {
    this.self = self;
    this.lastTickNanos = nowNanos;
    this.fencedAtNanos = nowNanos;
    this.validUntilNanos = nowNanos;
    this.lastStoreAttempt = new StoreAttempt(nowNanos, true);
  }

  /** Takes in one run of the control loop; returns whether the process was paused before it. */
  public boolean tick(long nowNanos) {
    boolean paused = nowNanos - lastTickNanos > LeaseView.MAX_CONTROL_GAP_NANOS;
    takeoverPossible |= nowNanos - lastTickNanos > MAX_SHORT_PAUSE_NANOS;
    lastTickNanos = nowNanos;
    if (paused) {
      fenced = true;
      fencedAtNanos = nowNanos;
    }
    return paused;
  }

  /** Notes that a heartbeat is about to be sent. */
  public void heartbeatSent(long counter, long nowNanos) {
    sentHeartbeats.addLast(new SentHeartbeat(counter, nowNanos));
    while (nowNanos - sentHeartbeats.getFirst().sentAtNanos() > LEASE_NANOS) {
      sentHeartbeats.removeFirst();
    }
  }

  /**
   * Takes in that a written row includes a counter of this incarnation.
   *
   * @param version version of that row
   * @param counter the included counter; 0 if this incarnation is not a member
   * @param requestedAtNanos when the read or the request was sent
   */
  public void renewed(long version, long counter, long requestedAtNanos) {
    clearFence(requestedAtNanos);
    if (version < rowVersion) {
      return;
    }
    rowVersion = version;
    while (!sentHeartbeats.isEmpty() && sentHeartbeats.getFirst().counter() < counter) {
      sentHeartbeats.removeFirst();
    }
    if (!sentHeartbeats.isEmpty() && sentHeartbeats.getFirst().counter() == counter) {
      validUntilNanos = sentHeartbeats.getFirst().sentAtNanos() + LEASE_NANOS;
      heldLease = true;
    }
  }

  /** Takes in that the row was read from the table or written by this VM. */
  public void rowSynchronized(long startedAtNanos) {
    if (startedAtNanos - fencedAtNanos >= 0) {
      takeoverPossible = false;
    }
  }

  /** Takes in an answer of a peer of the same failure domain. */
  public void peerAnswered(
      Incarnation peer, boolean storeReachable, long peerRowVersion, long requestedAtNanos) {
    boolean blocksIsolation = storeReachable || peerRowVersion > rowVersion;
    peerReports.put(peer, new PeerReport(requestedAtNanos, true, blocksIsolation));
    clearFence(requestedAtNanos);
  }

  /** Takes in that a peer of the same failure domain did not answer. */
  public void peerFailed(Incarnation peer, long requestedAtNanos) {
    peerReports.put(peer, new PeerReport(requestedAtNanos, false, false));
  }

  /** Takes in the outcome of a call of the table service. */
  public void storeAttempted(boolean reached, long startedAtNanos) {
    if (startedAtNanos - lastStoreAttempt.startedAtNanos() >= 0) {
      lastStoreAttempt = new StoreAttempt(startedAtNanos, reached);
    }
  }

  private void clearFence(long requestedAtNanos) {
    if (requestedAtNanos - fencedAtNanos >= 0) {
      fenced = false;
    }
  }

  /** Returns how much of the lease is left; negative after its end. */
  public long remainingNanos(long nowNanos) {
    return validUntilNanos - nowNanos;
  }

  /** Returns whether the holder may not use its resources because of a pause. */
  public boolean isFenced() {
    return fenced;
  }

  /** Returns the lease for a snapshot. */
  public LeaseView view(Set<Incarnation> otherMembers, long nowNanos) {
    boolean isolated = !fenced && isIsolated(otherMembers, nowNanos);
    long endNanos = fenced ? lastTickNanos : validUntilNanos;
    return new LeaseView(endNanos, isolated, lastTickNanos);
  }

  private boolean isIsolated(Set<Incarnation> otherMembers, long nowNanos) {
    return heldLease
        && !lastStoreAttempt.reached()
        && isFresh(lastStoreAttempt.startedAtNanos(), MAX_STORE_EVIDENCE_AGE_NANOS, nowNanos)
        && otherMembers.stream()
            .filter(member -> !member.equals(self))
            .allMatch(member -> supportsIsolation(peerReports.get(member), nowNanos));
  }

  private boolean supportsIsolation(PeerReport report, long nowNanos) {
    return report != null
        && !report.blocksIsolation()
        && (report.answered() || !takeoverPossible)
        && isFresh(report.requestedAtNanos(), MAX_PEER_EVIDENCE_AGE_NANOS, nowNanos);
  }

  private boolean isFresh(long evidenceAtNanos, long maxAgeNanos, long nowNanos) {
    return nowNanos - evidenceAtNanos <= maxAgeNanos && evidenceAtNanos - fencedAtNanos >= 0;
  }

  private record SentHeartbeat(long counter, long sentAtNanos) {}

  private record PeerReport(long requestedAtNanos, boolean answered, boolean blocksIsolation) {}

  private record StoreAttempt(long startedAtNanos, boolean reached) {}
}
