package org.toucanrack.internal.coordination.move;

import java.util.concurrent.TimeUnit;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * Plans the next step of a move.
 *
 * <p>Invariant: a record changes its split by at most its step, and only after the planning VM has
 * observed the record unchanged for a whole window by its own monotonic clock. Hence two changes
 * are at least a window apart on any clock. Stateless and thread-safe.
 */
public final class MovePlanner {

  /** Fraction of the target's backend servers that must be warm before a step. */
  static final double MIN_WARM_FRACTION = 0.8;

  private static final double SPLIT_TOLERANCE = 1e-9;

  /**
   * Plans the next record.
   *
   * @param record the newest record this VM read
   * @param firstReadNanos monotonic time at which this VM first read this version of the record
   */
  public MoveDecision plan(
      MoveRecord record, long firstReadNanos, MoveConditions conditions, long nowNanos) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - firstReadNanos);
    long remainingMillis = record.remainingMillis() - elapsedMillis;
    if (record.state().isFinal()) {
      return MoveDecision.waiting(record.reason());
    }
    if (elapsedMillis < record.windowMillis()) {
      return MoveDecision.waiting("The window of the last change has not passed.");
    }
    if (record.state() == MoveState.TAKING_BACK) {
      return rollBack(record, conditions, remainingMillis, record.reason());
    }
    if (remainingMillis <= 0) {
      String reason =
          "The deadline passed at %s of the traffic, which is taken back."
              .formatted(percent(record.split()));
      return rollBack(record, conditions, remainingMillis, reason);
    }
    return advance(record, conditions, remainingMillis);
  }

  /**
   * Returns the record of an aborted move. It is written on the condition that the given record is
   * unchanged; hence either the abort or a concurrent last step takes effect, never both.
   */
  public MoveRecord abort(MoveRecord record) {
    if (record.state().isFinal()) {
      throw new ToucanrackException(
          ErrorCode.CONFLICT,
          "Move %s is already %s. Start a move in the other direction instead."
              .formatted(record.id(), record.state().text()));
    }
    return record.aborted(
        "An operator aborted the move at %s of the traffic, which is taken back."
            .formatted(percent(record.split())));
  }

  private MoveDecision advance(MoveRecord record, MoveConditions conditions, long remainingMillis) {
    double change = Math.min(record.step(), 1 - record.split());
    String obstacle = obstacle(record, conditions, change);
    if (!obstacle.isEmpty()) {
      return checkpoint(record, remainingMillis, obstacle);
    }
    double split = record.split() + change;
    boolean done = split >= 1 - SPLIT_TOLERANCE;
    String reason =
        done
            ? "All traffic moved to %s.".formatted(record.to())
            : "%s of the traffic moved to %s.".formatted(percent(split), record.to());
    MoveState state = done ? MoveState.DONE : MoveState.RUNNING;
    return MoveDecision.write(record.with(state, done ? 1 : split, remainingMillis, reason));
  }

  private static String obstacle(MoveRecord record, MoveConditions conditions, double change) {
    if (conditions.targetHeadroom() < change) {
      return "%s has headroom for %s of the traffic, the step needs %s."
          .formatted(record.to(), percent(conditions.targetHeadroom()), percent(change));
    }
    if (conditions.warmFraction() < MIN_WARM_FRACTION) {
      return "%s of the backend servers in %s are warm, a step needs %s."
          .formatted(percent(conditions.warmFraction()), record.to(), percent(MIN_WARM_FRACTION));
    }
    return "";
  }

  private MoveDecision rollBack(
      MoveRecord record, MoveConditions conditions, long remainingMillis, String reason) {
    double change = Math.min(record.step(), record.split());
    if (conditions.sourceHeadroom() < change) {
      String obstacle =
          "%s has headroom for %s of the traffic, taking back needs %s."
              .formatted(record.from(), percent(conditions.sourceHeadroom()), percent(change));
      return MoveDecision.waiting(obstacle);
    }
    double split = record.split() - change;
    MoveState state = split > SPLIT_TOLERANCE ? MoveState.TAKING_BACK : finalState(record);
    return MoveDecision.write(
        record.with(state, split > SPLIT_TOLERANCE ? split : 0, remainingMillis, reason));
  }

  /** Stores the remaining time, so that it survives a restart of all VMs. */
  private static MoveDecision checkpoint(MoveRecord record, long remainingMillis, String obstacle) {
    return MoveDecision.write(
        record.with(record.state(), record.split(), remainingMillis, "Waiting: " + obstacle));
  }

  private static MoveState finalState(MoveRecord record) {
    return record.abortRequested() ? MoveState.ABORTED : MoveState.TAKEN_BACK;
  }

  private static String percent(double fraction) {
    return Math.round(fraction * 1000) / 10.0 + "%";
  }
}
