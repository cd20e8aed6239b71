package org.toucanrack.internal.coordination.rollout;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.ServiceVersion;

/**
 * Decides the next share of a version.
 *
 * <p>Invariant: a version that was taken back gets no share until its declaration number rises.
 * Stateless and thread-safe.
 */
public final class RolloutPlanner {

  /** Shares up to this one are probes: their requests are packed on a few servers. */
  public static final double MAX_PROBE_SHARE = 0.05;

  private static final List<Double> SHARE_STEPS =
      List.of(0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.65, 0.8, 1.0);

  /** Part of the time until the carry-by time that is planned; the rest absorbs delays. */
  private static final double PLANNED_FRACTION = 0.9;

  /** Shortest time between two steps, so that outcomes of a share can arrive. */
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
   * Returns the next record, empty to wait.
   *
   * @param unchangedFor how long this VM has seen the record unchanged, by its monotonic clock
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
