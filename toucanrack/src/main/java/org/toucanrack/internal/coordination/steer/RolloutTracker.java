package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanrack.steering.RolloutOrder;
import org.toucanrack.steering.RolloutOutcome.Phase;

/**
 * The course of one rollout as this VM sees it.
 *
 * <p>The version on trial first gets a small share. Only near the end of the ordered time, when
 * faults had the time to show, its share grows to all requests; then the rollout is complete. At
 * any time a fault ends it. Where VMs conclude differently, the report that the store took first
 * holds.
 *
 * <p>A VM that starts while the rollout runs learns its age and phase from other VMs, or from the
 * store when all VMs were down. Evidence is lost in the latter case, so the trial lasts at least
 * {@link #MIN_OBSERVED_TRIAL_NANOS} more, or the share grows anew from that of the trial. Not
 * thread-safe.
 */
public final class RolloutTracker {

  /** Part of the allowed share that a version on trial gets. */
  private static final double USED_SHARE_FRACTION = 0.75;

  /** Time before the ordered end at which the share starts to grow. */
  private static final long RAMP_UP_BEFORE_END_NANOS = TimeUnit.MILLISECONDS.toNanos(6500);

  /** Time before the ordered end at which the rollout is declared complete. */
  private static final long COMPLETE_BEFORE_END_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

  /** Time in which the share grows to 1, so that servers get to know the objects one by one. */
  private static final long RAMP_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

  /** Shortest growth, where a late start leaves less time; its ten steps then take 0.1 s each. */
  private static final long MIN_RAMP_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** Time before the ordered end that is kept for the report to reach the store. */
  private static final long REPORT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** A VM watches a trial for this long before the share grows, so that bad answers can come. */
  static final long MIN_OBSERVED_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  /** Time for requests at the servers before to end, before these are stopped. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** A trial lasts at least this part of the ordered time. */
  private static final double MIN_TRIAL_FRACTION = 0.4;

  /** Window in which a fault that shows late is looked for. */
  private static final long RECENT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final RolloutOrder order;
  private final double trialShare;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();
  private final Map<String, ExpectedFaults> expectedFaults = new HashMap<>();
  private final long firstSeenNanos;
  private long startedNanos;
  private long rampUpStartedNanos;
  private Phase phase = Phase.RUNNING;

  private record Sample(long nanos, Map<String, TrialEvidence> byRoute) {}

  /** Starts the plan of an order that was first seen at {@code nowNanos}. */
  public RolloutTracker(RolloutOrder order, double allowedShare, long nowNanos) {
    this.order = order;
    this.trialShare = USED_SHARE_FRACTION * allowedShare;
    this.firstSeenNanos = nowNanos;
    this.startedNanos = nowNanos;
  }

  /** Returns the order. */
  public RolloutOrder order() {
    return order;
  }

  /** Returns the phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns how long the rollout runs. */
  public long elapsedNanos(long nowNanos) {
    return nowNanos - startedNanos;
  }

  /** Returns how long the share of the version has grown, 0 during the trial. */
  public long rampUpElapsedNanos(long nowNanos) {
    return phase == Phase.MOVING ? nowNanos - rampUpStartedNanos : 0;
  }

  /** Learns that the rollout runs for longer than this VM knew. */
  public void observeElapsed(long nanos, long nowNanos) {
    startedNanos = Math.min(startedNanos, nowNanos - nanos);
  }

  /** Learns from another VM for how long the share of the version has grown. */
  public void observeRampUp(long nanos, long nowNanos) {
    if (phase == Phase.RUNNING) {
      phase = Phase.MOVING;
      rampUpStartedNanos = nowNanos - nanos;
    } else if (phase == Phase.MOVING) {
      rampUpStartedNanos = Math.min(rampUpStartedNanos, nowNanos - nanos);
    }
  }

  /** Learns what another VM concluded. */
  public void observeConclusion(Phase concluded) {
    if (!phase.isFinal()) {
      phase = concluded;
    }
  }

  /** Learns the phase that the store holds; the final ones hold over what this VM concluded. */
  public void observeStoredPhase(Phase reported, long nowNanos) {
    if (reported.isFinal()) {
      phase = reported;
    } else if (reported == Phase.MOVING) {
      observeRampUp(0, nowNanos);
    }
  }

  /** Returns the share of requests that the version gets. */
  public VersionTrial trial(long nowNanos) {
    return new VersionTrial(order.to(), share(nowNanos));
  }

  private double share(long nowNanos) {
    return switch (phase) {
      case REVERTED -> 0;
      case COMPLETED -> 1;
      case RUNNING -> trialShare;
      case MOVING -> rampUpShare(nowNanos);
    };
  }

  private double rampUpShare(long nowNanos) {
    // Steps of a tenth keep the number of published changes small.
    double progress = Math.min(1, rampUpElapsedNanos(nowNanos) / (double) rampUpDurationNanos());
    return Math.min(1, Math.ceil(10 * (trialShare + progress * (1 - trialShare))) / 10);
  }

  /** Returns the age at which the trial is passed. */
  private long rampUpStartAgeNanos() {
    long within = order.within().toNanos();
    long planned =
        Math.max((long) (MIN_TRIAL_FRACTION * within), within - RAMP_UP_BEFORE_END_NANOS);
    return Math.max(planned, firstSeenNanos - startedNanos + MIN_OBSERVED_TRIAL_NANOS);
  }

  /** Returns a growth that ends in time, or the usual one where that is not possible. */
  private long rampUpDurationNanos() {
    long left =
        order.within().toNanos()
            - REPORT_MARGIN_NANOS
            - SETTLE_NANOS
            - (rampUpStartedNanos - startedNanos);
    return left < MIN_RAMP_UP_NANOS ? RAMP_UP_NANOS : Math.min(RAMP_UP_NANOS, left);
  }

  private long completionAgeNanos() {
    long settled = rampUpStartedNanos - startedNanos + rampUpDurationNanos() + SETTLE_NANOS;
    return Math.max(settled, order.within().toNanos() - COMPLETE_BEFORE_END_NANOS);
  }

  /**
   * Judges the evidence of all VMs, by route.
   *
   * @return the phase after this
   */
  public Phase judge(Map<String, TrialEvidence> byRoute, long nowNanos) {
    if (phase.isFinal()) {
      return phase;
    }
    samples.addLast(new Sample(nowNanos, new HashMap<>(byRoute)));
    while (samples.size() > 1 && nowNanos - samples.peekFirst().nanos() > RECENT_WINDOW_NANOS) {
      samples.pollFirst();
    }
    Map<String, TrialEvidence> before = samples.peekFirst().byRoute();
    for (Map.Entry<String, TrialEvidence> entry : byRoute.entrySet()) {
      TrialEvidence earlier = before.getOrDefault(entry.getKey(), TrialEvidence.NONE);
      ExpectedFaults.Shares expected =
          expectedFaults
              .computeIfAbsent(entry.getKey(), route -> new ExpectedFaults(nowNanos))
              .update(entry.getValue(), nowNanos);
      if (entry.getValue().showsFaultBeyond(expected)
          || entry.getValue().showsFaultSince(earlier)) {
        phase = Phase.REVERTED;
        return phase;
      }
    }
    if (phase == Phase.RUNNING && elapsedNanos(nowNanos) >= rampUpStartAgeNanos()) {
      observeRampUp(elapsedNanos(nowNanos) - rampUpStartAgeNanos(), nowNanos);
    }
    if (phase == Phase.MOVING && elapsedNanos(nowNanos) >= completionAgeNanos()) {
      phase = Phase.COMPLETED;
    }
    return phase;
  }
}
