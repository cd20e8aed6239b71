package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests of one customer that a VM admits within any window to the VM's share of the
 * customer's rate and burst.
 *
 * <p>A share that was raised may have been used by another VM until then, so its part of the rate
 * counts from the raise on, and its part of the burst a window later. Invariant: while the shares
 * of all VMs add up to at most 1 and do not move, all VMs together admit at most the rate and the
 * burst within any window. A share that moves adds at most the part of it that the other VM could
 * send in one peak. Not thread-safe.
 */
final class ShareWindow {

  private static final double NANOS_PER_SECOND = 1e9;

  private final long windowNanos;
  private final SlidingWindowCounter admitted;

  /** The parts of the share, the latest raise last. */
  private final Deque<Part> parts = new ArrayDeque<>();

  private double share;

  private record Part(double share, long sinceNanos) {}

  ShareWindow(long windowNanos) {
    this.windowNanos = windowNanos;
    this.admitted = new SlidingWindowCounter(windowNanos);
  }

  /** Changes the share; a lower share ends the latest raises first. */
  void setShare(double newShare, long nowNanos) {
    if (newShare > share) {
      parts.addLast(new Part(newShare - share, nowNanos));
    }
    double surplus = share - newShare;
    while (surplus > 0 && !parts.isEmpty()) {
      Part latest = parts.removeLast();
      if (latest.share() > surplus) {
        parts.addLast(new Part(latest.share() - surplus, latest.sinceNanos()));
      }
      surplus -= latest.share();
    }
    share = newShare;
    mergeSettledParts(nowNanos);
  }

  /** Joins the parts that are older than the window, so that their number stays small. */
  private void mergeSettledParts(long nowNanos) {
    double settled = 0;
    Part oldest = parts.peekFirst();
    while (oldest != null && isSettled(oldest, nowNanos)) {
      settled += parts.removeFirst().share();
      oldest = parts.peekFirst();
    }
    if (settled > 0) {
      parts.addFirst(new Part(settled, nowNanos - windowNanos));
    }
  }

  private boolean isSettled(Part part, long nowNanos) {
    return nowNanos - part.sinceNanos() >= windowNanos;
  }

  /**
   * Returns whether one more request stays within the limit.
   *
   * @param requestsPerSecond the rate of the customer
   * @param burst the burst of the customer
   * @param reserveRequests requests allowed on top of the share
   */
  boolean permits(double requestsPerSecond, double burst, double reserveRequests, long nowNanos) {
    double limit = reserveRequests;
    for (Part part : parts) {
      double seconds = Math.min(nowNanos - part.sinceNanos(), windowNanos) / NANOS_PER_SECOND;
      limit += part.share() * seconds * requestsPerSecond;
      limit += isSettled(part, nowNanos) ? part.share() * burst : 0;
    }
    return admitted.count(nowNanos) + 1 <= limit;
  }

  void recordAdmitted(long nowNanos) {
    admitted.record(nowNanos);
  }

  /** Forgets the latest admitted request, which did not run. */
  void refund() {
    admitted.removeLatest();
  }
}
