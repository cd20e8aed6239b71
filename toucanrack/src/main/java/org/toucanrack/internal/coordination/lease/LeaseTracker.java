package org.toucanrack.internal.coordination.lease;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.state.LeaseView;

/**
 * Tracks this VM's own lease by its monotonic clock.
 *
 * <p>Invariants: the lease ends {@link #LEASE_NANOS} after the time read before the heartbeat was
 * sent whose counter a written row includes. After a pause of the process, the holder is fenced
 * until a request sent after the pause is answered by the table or by a peer of its failure domain.
 * After a pause in which a takeover was possible, isolated mode requires answers from all members
 * until the row has been read or written. Not thread-safe.
 */
public final class LeaseTracker {

  /** Length of a lease. */
  public static final long LEASE_NANOS = 10_000_000_000L;

  /** Maximum age of peer reports that count for isolated mode. */
  public static final long MAX_PEER_EVIDENCE_AGE_NANOS = 3_000_000_000L;

  /** Maximum age of a failed store call that counts for isolated mode; a call takes up to 2 s. */
  public static final long MAX_STORE_EVIDENCE_AGE_NANOS = 5_000_000_000L;

  /**
   * Longest pause after which a member that does not answer may be ignored. During a longer one it
   * may have taken over resources: a takeover requires a whole lease without contact to this VM,
   * and the last contact may precede the pause by some seconds.
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

  /** Creates a tracker for a VM that has no lease yet. */
  public LeaseTracker(Incarnation self, long nowNanos) {
    this.self = self;
    this.lastTickNanos = nowNanos;
    this.fencedAtNanos = nowNanos;
    this.validUntilNanos = nowNanos;
    this.lastStoreAttempt = new StoreAttempt(nowNanos, true);
  }

  /** Records one run of the control loop; returns whether the process was paused before it. */
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

  /** Records that a heartbeat is about to be sent. */
  public void heartbeatSent(long counter, long nowNanos) {
    sentHeartbeats.addLast(new SentHeartbeat(counter, nowNanos));
    while (nowNanos - sentHeartbeats.getFirst().sentAtNanos() > LEASE_NANOS) {
      sentHeartbeats.removeFirst();
    }
  }

  /**
   * Renews the lease from a written row that includes a counter of this incarnation. A row older
   * than the newest one seen only ends the fence.
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

  /** Records that the row was read from the table or written by this VM. */
  public void rowSynchronized(long startedAtNanos) {
    if (startedAtNanos - fencedAtNanos >= 0) {
      takeoverPossible = false;
    }
  }

  /** Records an answer of a peer of the same failure domain. */
  public void peerAnswered(
      Incarnation peer, boolean storeReachable, long peerRowVersion, long requestedAtNanos) {
    boolean blocksIsolation = storeReachable || peerRowVersion > rowVersion;
    peerReports.put(peer, new PeerReport(requestedAtNanos, true, blocksIsolation));
    clearFence(requestedAtNanos);
  }

  /** Records that a peer of the same failure domain did not answer. */
  public void peerFailed(Incarnation peer, long requestedAtNanos) {
    peerReports.put(peer, new PeerReport(requestedAtNanos, false, false));
  }

  /** Records the outcome of a call to the table service. */
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

  /** Returns the remaining time of the lease; negative after its end. */
  public long remainingNanos(long nowNanos) {
    return validUntilNanos - nowNanos;
  }

  /** Returns whether the holder must not use its resources because of a pause. */
  public boolean isFenced() {
    return fenced;
  }

  /**
   * Returns the lease for a snapshot; while fenced, it ended at the last run of the control loop.
   */
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
