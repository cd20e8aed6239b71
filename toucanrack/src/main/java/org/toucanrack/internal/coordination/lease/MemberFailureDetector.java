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
 * Detects lost members from the observations of one writer of the domain row.
 *
 * <p>Invariant: a member is reported as lost only if there was no contact (a new renewal counter in
 * the row, a heartbeat, an answer) for a whole lease plus the clock margin, and after that the
 * platform's list no longer names it or a direct probe failed. Not thread-safe.
 */
public final class MemberFailureDetector {

  /** Covers the difference in clock rate between the lease holder and the VM that takes over. */
  public static final long CLOCK_MARGIN_NANOS = 500_000_000L;

  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

  /** Maximum age of a failed probe; a member may recover while the store is slow. */
  private static final long MAX_PROBE_EVIDENCE_AGE_NANOS = 3_000_000_000L;

  private static final long MAX_LISTING_EVIDENCE_AGE_NANOS = 15_000_000_000L;

  private final Incarnation self;
  private final Map<Incarnation, Observation> observations = new HashMap<>();
  private final Set<VmId> previouslyListed = new HashSet<>();

  /** Creates a detector for one writer. */
  public MemberFailureDetector(Incarnation self) {
    this.self = self;
  }

  /** Records a row that was read from the table or confirmed as written. */
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

  /** Records a heartbeat or an answer of a member. */
  public void observeContact(Incarnation member, long nowNanos) {
    Observation observation = observations.get(member);
    if (observation != null) {
      observations.put(member, new Observation(observation.counter, nowNanos));
    }
  }

  /** Records a probe that was not answered, was refused, or was answered by another incarnation. */
  public void observeFailedProbe(Incarnation member, long startedAtNanos) {
    Observation observation = observations.get(member);
    if (observation != null && startedAtNanos - observation.leaseEndNanos() >= 0) {
      observation.markGone(startedAtNanos, MAX_PROBE_EVIDENCE_AGE_NANOS);
    }
  }

  /**
   * Records the platform's list of VMs. A VM that is no longer listed has terminated; one that was
   * never listed may still be missing because the list lags.
   */
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
   * Restarts the lease wait for all members. Called after a pause of this process, during which
   * contacts may have been missed.
   */
  public void resetObservations(long nowNanos) {
    observations.replaceAll(
        (member, observation) -> new Observation(observation.counter, nowNanos));
  }

  /** Returns the members to probe now and schedules their next probe. */
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

    void markGone(long startedAtNanos, long maxAgeNanos) {
      gone = true;
      goneUntilNanos = startedAtNanos + maxAgeNanos;
    }

    boolean isGone(long nowNanos) {
      return gone && nowNanos - goneUntilNanos <= 0;
    }

    long leaseEndNanos() {
      return lastContactNanos + LeaseTracker.LEASE_NANOS + CLOCK_MARGIN_NANOS;
    }
  }
}
