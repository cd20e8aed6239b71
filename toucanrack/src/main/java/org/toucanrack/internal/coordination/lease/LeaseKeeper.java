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
public final class LeaseKeeper {

  /** Length of a lease. */
  public static final long LEASE_NANOS = 10_000_000_000L;

  /** Age up to which reports of peers count for isolated mode. */
  public static final long PEER_EVIDENCE_NANOS = 3_000_000_000L;

  /** Age up to which a failed attempt to reach the store counts; attempts take up to 2 s each. */
  public static final long STORE_EVIDENCE_NANOS = 5_000_000_000L;

  /**
   * Longest pause after which a member that does not answer may be ignored. In a longer one it may
   * have taken resources over; a takeover needs a whole lease without a sign of this VM, and the
   * last sign may be some seconds older than the pause.
   */
  public static final long SHORT_PAUSE_NANOS = 5_000_000_000L;

  private final Incarnation self;
  private final Deque<SentHeartbeat> sent = new ArrayDeque<>();
  private final Map<Incarnation, PeerReport> reports = new HashMap<>();
  private long validUntilNanos;
  private boolean heldLease;
  private long lastTickNanos;
  private boolean fenced;
  private long fencedAtNanos;
  private boolean takeoverMayBeHidden;
  private long rowVersion;
  private StoreAttempt lastAttempt;

  /** Creates the view of a VM that has no lease yet. */
  public LeaseKeeper(Incarnation self, long nowNanos) {
    this.self = self;
    this.lastTickNanos = nowNanos;
    this.fencedAtNanos = nowNanos;
    this.validUntilNanos = nowNanos;
    this.lastAttempt = new StoreAttempt(nowNanos, true);
  }

  /** Takes in one run of the control loop; returns whether the process was paused before it. */
  public boolean tick(long nowNanos) {
    boolean paused = nowNanos - lastTickNanos > LeaseView.MAX_CONTROL_GAP_NANOS;
    takeoverMayBeHidden |= nowNanos - lastTickNanos > SHORT_PAUSE_NANOS;
    lastTickNanos = nowNanos;
    if (paused) {
      fenced = true;
      fencedAtNanos = nowNanos;
    }
    return paused;
  }

  /** Notes that a heartbeat is about to be sent. */
  public void heartbeatSent(long counter, long nowNanos) {
    sent.addLast(new SentHeartbeat(counter, nowNanos));
    while (nowNanos - sent.getFirst().atNanos() > LEASE_NANOS) {
      sent.removeFirst();
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
    while (!sent.isEmpty() && sent.getFirst().counter() < counter) {
      sent.removeFirst();
    }
    if (!sent.isEmpty() && sent.getFirst().counter() == counter) {
      validUntilNanos = sent.getFirst().atNanos() + LEASE_NANOS;
      heldLease = true;
    }
  }

  /** Takes in that the row was read from the table or written by this VM. */
  public void rowKnown(long startedAtNanos) {
    if (startedAtNanos - fencedAtNanos >= 0) {
      takeoverMayBeHidden = false;
    }
  }

  /** Takes in an answer of a peer of the same failure domain. */
  public void peerAnswered(
      Incarnation peer, boolean storeReachable, long peerRowVersion, long requestedAtNanos) {
    boolean blocks = storeReachable || peerRowVersion > rowVersion;
    reports.put(peer, new PeerReport(requestedAtNanos, true, blocks));
    clearFence(requestedAtNanos);
  }

  /** Takes in that a peer of the same failure domain did not answer. */
  public void peerFailed(Incarnation peer, long requestedAtNanos) {
    reports.put(peer, new PeerReport(requestedAtNanos, false, false));
  }

  /** Takes in the outcome of a call of the table service. */
  public void storeAttempted(boolean reached, long startedAtNanos) {
    if (startedAtNanos - lastAttempt.startedAtNanos() >= 0) {
      lastAttempt = new StoreAttempt(startedAtNanos, reached);
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
    long until = fenced ? lastTickNanos : validUntilNanos;
    return new LeaseView(until, isolated, lastTickNanos);
  }

  private boolean isIsolated(Set<Incarnation> otherMembers, long nowNanos) {
    return heldLease
        && !lastAttempt.reached()
        && isFresh(lastAttempt.startedAtNanos(), STORE_EVIDENCE_NANOS, nowNanos)
        && otherMembers.stream()
            .filter(member -> !member.equals(self))
            .allMatch(member -> supportsIsolation(reports.get(member), nowNanos));
  }

  private boolean supportsIsolation(PeerReport report, long nowNanos) {
    return report != null
        && !report.blocks()
        && (report.answered() || !takeoverMayBeHidden)
        && isFresh(report.requestedAtNanos(), PEER_EVIDENCE_NANOS, nowNanos);
  }

  private boolean isFresh(long atNanos, long longestNanos, long nowNanos) {
    return nowNanos - atNanos <= longestNanos && atNanos - fencedAtNanos >= 0;
  }

  private record SentHeartbeat(long counter, long atNanos) {}

  private record PeerReport(long requestedAtNanos, boolean answered, boolean blocks) {}

  private record StoreAttempt(long startedAtNanos, boolean reached) {}
}
