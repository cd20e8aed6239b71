package org.toucanrack.internal.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

/**
 * Decides which members are lost, from what one writer of the domain row has observed itself.
 *
 * <p>Invariant: a member is lost only if no sign of it (a new renewal counter in the row, a
 * heartbeat, an answer) was seen for the whole length of a lease, and after that the platform's
 * list no longer names it or a direct probe had no answer. Not thread-safe.
 */
public final class MemberFailureDetector {

  /** Covers differences in the rates of the clocks of holder and taker. */
  public static final long CLOCK_MARGIN_NANOS = 500_000_000L;

  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

  /** Age up to which a failed probe counts; a member may come back while the store is slow. */
  private static final long MAX_PROBE_EVIDENCE_AGE_NANOS = 3_000_000_000L;

  private static final long MAX_LISTING_EVIDENCE_AGE_NANOS = 15_000_000_000L;

  private final Incarnation self;
  private final Map<Incarnation, Observation> observations = new HashMap<>();
  private final Set<VmId> previouslyListed = new HashSet<>();

  /** Creates a judge for one writer. */
  public MemberFailureDetector(Incarnation self) {
    this.self = self;
  }

  /** Takes in a row that was read from the table or confirmed as written. */
  public void observeRow(DomainRow row, long nowNanos) {
    observations.keySet().retainAll(row.members().keySet());
    row.members()
        .forEach(
            (id, member) -> {
              Observation observation = observations.get(id);
              if (observation == null || observation.counter != member.renewalCounter()) {
                observations.put(id, new Observation(member.renewalCounter(), nowNanos));
              }
            });
    observations.remove(self);
  }

  /** Takes in a heartbeat or an answer of a member. */
  public void observeContact(Incarnation member, long nowNanos) {
    Observation observation = observations.get(member);
    if (observation != null) {
      observations.put(member, new Observation(observation.counter, nowNanos));
    }
  }

  /** Takes in a probe that had no answer, was refused, or was answered by another incarnation. */
  public void observeFailedProbe(Incarnation member, long startedAtNanos) {
    Observation observation = observations.get(member);
    if (observation != null && startedAtNanos - observation.leaseEndNanos() >= 0) {
      observation.markGone(startedAtNanos, MAX_PROBE_EVIDENCE_AGE_NANOS);
    }
  }

  /** Takes in the platform's list. A VM that was listed and is not any more has ended. */
  public void observeListing(Set<VmId> listed, long startedAtNanos) {
    observations.forEach(
        (member, observation) -> {
          boolean ended = previouslyListed.contains(member.vm()) && !listed.contains(member.vm());
          if (ended && startedAtNanos - observation.leaseEndNanos() >= 0) {
            observation.markGone(startedAtNanos, MAX_LISTING_EVIDENCE_AGE_NANOS);
          }
        });
    previouslyListed.addAll(listed);
  }

  /**
   * Starts all observations anew. Called after a pause of this process, in which signs of members
   * may have been missed.
   */
  public void resetObservations(long nowNanos) {
    observations.replaceAll(
        (member, observation) -> new Observation(observation.counter, nowNanos));
  }

  /** Returns the members to probe now, and counts them as probed. */
  public List<Incarnation> pollDueProbes(long nowNanos) {
    List<Incarnation> due = new ArrayList<>();
    observations.forEach(
        (member, observation) -> {
          if (nowNanos - observation.leaseEndNanos() >= 0
              && nowNanos - observation.nextProbeNanos >= 0) {
            observation.nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
            due.add(member);
          }
        });
    return due;
  }

  /** Returns the members whose resources may be taken over. */
  public Set<Incarnation> lostMembers(long nowNanos) {
    Set<Incarnation> lost = new HashSet<>();
    observations.forEach(
        (member, observation) -> {
          if (observation.isGone(nowNanos)) {
            lost.add(member);
          }
        });
    return lost;
  }

  private static final class Observation {
    private final long counter;
    private final long lastContactNanos;
    private long nextProbeNanos;
    private boolean gone;
    private long goneUntilNanos;

    Observation(long counter, long lastContactNanos) {
      this.counter = counter;
      this.lastContactNanos = lastContactNanos;
      this.nextProbeNanos = lastContactNanos;
    }

    void markGone(long startedAtNanos, long evidenceNanos) {
      gone = true;
      goneUntilNanos = startedAtNanos + evidenceNanos;
    }

    boolean isGone(long nowNanos) {
      return gone && nowNanos - goneUntilNanos <= 0;
    }

    long leaseEndNanos() {
      return lastContactNanos + LeaseTracker.LEASE_NANOS + CLOCK_MARGIN_NANOS;
    }
  }
}
