package org.toucanrack.internal.coordination.rollout;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.ServiceVersion;

/**
 * Plans the next share of a version.
 *
 * <p>Invariant: a version that was rolled back gets no share until its declaration number
 * increases. Stateless and thread-safe.
 */
public final class RolloutPlanner {

  /** Largest share of the probe phase, in which requests are concentrated on a few servers. */
  public static final double MAX_PROBE_SHARE = 0.05;

  private static final List<Double> SHARE_STEPS =
      List.of(0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.65, 0.8, 1.0);

  /**
   * Fraction of the time until the carry-by time over which steps are planned; the rest absorbs
   * delays.
   */
  private static final double PLANNED_FRACTION = 0.9;

  /** Minimum time between two steps, so that outcomes at a share can be observed. */
  private static final Duration MIN_STEP_INTERVAL = Duration.ofSeconds(2);

  /** Returns the first record of a declaration. */
  public RolloutRecord initialRecord(ServiceVersion declared) {
    return new RolloutRecord(
        declared.service(),
        declared.id(),
        declared.declaration(),
        SHARE_STEPS.get(0),
        RolloutState.EXPOSING,
        "The version was declared.");
  }

  /**
   * Returns the next record; empty if the rollout has to wait.
   *
   * @param unchangedFor time for which the record has been unchanged, by this VM's monotonic clock
   * @param untilCarryBy time until the version has to carry all traffic; may be negative
   */
  public Optional<RolloutRecord> plan(
      RolloutRecord record, ServiceVersion declared, Duration unchangedFor, Duration untilCarryBy) {
    if (declared.declaration() > record.declaration()) {
      return Optional.of(initialRecord(declared));
    }
    boolean advances =
        record.state() == RolloutState.EXPOSING || record.state() == RolloutState.RAMPING;
    if (!advances || unchangedFor.compareTo(stepInterval(record, unchangedFor, untilCarryBy)) < 0) {
      return Optional.empty();
    }
    double share = nextShare(record.share());
    return Optional.of(
        record.advanced(share, stateOf(share), "No fault was seen at the previous share."));
  }

  private static Duration stepInterval(
      RolloutRecord record, Duration unchangedFor, Duration untilCarryBy) {
    long stepsLeft = SHARE_STEPS.stream().filter(share -> share > record.share()).count();
    double planned = unchangedFor.plus(untilCarryBy).toMillis() * PLANNED_FRACTION;
    Duration even = Duration.ofMillis((long) (planned / Math.max(1, stepsLeft)));
    return even.compareTo(MIN_STEP_INTERVAL) < 0 ? MIN_STEP_INTERVAL : even;
  }

  private static double nextShare(double share) {
    return SHARE_STEPS.stream().filter(next -> next > share).findFirst().orElse(1.0);
  }

  private static RolloutState stateOf(double share) {
    if (share >= 1) {
      return RolloutState.COMPLETE;
    }
    return share <= MAX_PROBE_SHARE ? RolloutState.EXPOSING : RolloutState.RAMPING;
  }
}
