package org.toucanrack.internal.coordination.steer;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanrack.steering.RolloutOrder;
import org.toucanrack.steering.RolloutProgress.Phase;

/**
 * Tracks one rollout from the trial of the new version to its completion or rollback.
 *
 * <p>The version on trial gets a small share at first. Its share grows to all requests only near
 * the end of the ordered time, after faults had time to show; then the rollout is complete. A fault
 * at any time reverts it. If VMs come to different conclusions, the report that the store accepts
 * first wins.
 *
 * <p>A VM that starts during the rollout adopts its age and phase from other VMs, or from the store
 * if all VMs were down. In the latter case the evidence is lost, so the trial lasts at least {@link
 * #MIN_OBSERVED_TRIAL_NANOS} more, or the share grows again from that of the trial. Not
 * thread-safe.
 */
public final class RolloutTracker {

  /** Fraction of the allowed share that the version on trial gets. */
  private static final double TRIAL_SHARE_FRACTION = 0.75;

  /** Time before the ordered end at which the share starts to grow. */
  private static final long RAMP_UP_BEFORE_END_NANOS = TimeUnit.MILLISECONDS.toNanos(6500);

  /** Time before the ordered end at which the rollout completes. */
  private static final long COMPLETE_BEFORE_END_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

  /** Time in which the share grows to 1, so that servers fill their caches gradually. */
  private static final long RAMP_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

  /** Shortest ramp-up, if a late start leaves less time; its ten steps take 0.1 s each. */
  private static final long MIN_RAMP_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** Time before the ordered end that is reserved for writing the report to the store. */
  private static final long REPORT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /**
   * Shortest observation of the trial by a VM before the share grows, so that faulty answers have
   * time to arrive.
   */
  static final long MIN_OBSERVED_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  /** Time for requests at servers of the previous version to finish before these are stopped. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** Shortest trial, as a fraction of the ordered time. */
  private static final double MIN_TRIAL_FRACTION = 0.4;

  /** Window in which late faults are detected. */
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

  /** Starts tracking an order that was first seen at {@code nowNanos}. */
  public RolloutTracker(RolloutOrder order, double allowedShare, long nowNanos) {
    this.order = order;
    this.trialShare = TRIAL_SHARE_FRACTION * allowedShare;
    this.firstSeenNanos = nowNanos;
    this.startedNanos = nowNanos;
  }

  /** Returns the tracked order. */
  public RolloutOrder order() {
    return order;
  }

  /** Returns the phase that this VM has arrived at. */
  public Phase phase() {
    return phase;
  }

  /** Returns the age of the rollout. */
  public long elapsedNanos(long nowNanos) {
    return nowNanos - startedNanos;
  }

  /** Returns for how long the share of the version has been growing; 0 unless it is. */
  public long rampUpElapsedNanos(long nowNanos) {
    return phase == Phase.MOVING ? nowNanos - rampUpStartedNanos : 0;
  }

  /** Extends the age of the rollout to that reported by another VM or the store. */
  public void observeElapsed(long nanos, long nowNanos) {
    startedNanos = Math.min(startedNanos, nowNanos - nanos);
  }

  /** Adopts the ramp-up of another VM, which has lasted for {@code nanos}. */
  public void observeRampUp(long nanos, long nowNanos) {
    if (phase == Phase.RUNNING) {
      phase = Phase.MOVING;
      rampUpStartedNanos = nowNanos - nanos;
    } else if (phase == Phase.MOVING) {
      rampUpStartedNanos = Math.min(rampUpStartedNanos, nowNanos - nanos);
    }
  }

  /** Adopts the conclusion of another VM, unless this VM has come to one itself. */
  public void observeConclusion(Phase concluded) {
    if (!phase.isFinal()) {
      phase = concluded;
    }
  }

  /** Adopts the phase in the store; a final one overrides the conclusion of this VM. */
  public void observeStoredPhase(Phase reported, long nowNanos) {
    if (reported.isFinal()) {
      phase = reported;
    } else if (reported == Phase.MOVING) {
      observeRampUp(0, nowNanos);
    }
  }

  /** Returns the version on trial with its current share of the requests. */
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
    // Steps of a tenth limit the number of snapshots that are published.
    double progress = Math.min(1, rampUpElapsedNanos(nowNanos) / (double) rampUpDurationNanos());
    return Math.min(1, Math.ceil(10 * (trialShare + progress * (1 - trialShare))) / 10);
  }

  /** Returns the age of the rollout at which the share starts to grow. */
  private long rampUpStartAgeNanos() {
    long timeLimitNanos = order.timeLimit().toNanos();
    long planned =
        Math.max(
            (long) (MIN_TRIAL_FRACTION * timeLimitNanos),
            timeLimitNanos - RAMP_UP_BEFORE_END_NANOS);
    return Math.max(planned, firstSeenNanos - startedNanos + MIN_OBSERVED_TRIAL_NANOS);
  }

  /** Returns a ramp-up that ends in time, or the usual one if that is not possible. */
  private long rampUpDurationNanos() {
    long left =
        order.timeLimit().toNanos()
            - REPORT_MARGIN_NANOS
            - SETTLE_NANOS
            - (rampUpStartedNanos - startedNanos);
    return left < MIN_RAMP_UP_NANOS ? RAMP_UP_NANOS : Math.min(RAMP_UP_NANOS, left);
  }

  private long completionAgeNanos() {
    long settled = rampUpStartedNanos - startedNanos + rampUpDurationNanos() + SETTLE_NANOS;
    return Math.max(settled, order.timeLimit().toNanos() - COMPLETE_BEFORE_END_NANOS);
  }

  /**
   * Judges the cumulative evidence of all VMs and advances the phase.
   *
   * @param byRoute the evidence, by route
   * @return the phase after that
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
