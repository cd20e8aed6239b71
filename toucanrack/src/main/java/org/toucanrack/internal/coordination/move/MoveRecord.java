package org.toucanrack.internal.coordination.move;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.MoveId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.state.JsonIds;

/**
 * The stored state of a traffic move, in the row {@code move/ID}. Immutable and thread-safe.
 *
 * <p>Contains no timestamp: the remaining time is reduced by durations measured with the writer's
 * monotonic clock, so that adjustments of wall clocks have no effect.
 *
 * @param id the move
 * @param service whose traffic moves
 * @param from failure domain or region that the traffic moves from
 * @param to failure domain or region that the traffic moves to
 * @param cap largest fraction of the traffic that may shift in one window
 * @param step fraction of the traffic shifted by one step, at most the cap
 * @param windowMillis length of the window
 * @param remainingMillis time until the deadline as of the write of the record
 * @param state the state
 * @param split fraction of the traffic that is shifted now
 * @param abortRequested whether an operator aborted the move
 * @param reason one sentence on the last change
 */
public record MoveRecord(
    MoveId id,
    ServiceId service,
    String from,
    String to,
    double cap,
    double step,
    long windowMillis,
    long remainingMillis,
    MoveState state,
    double split,
    boolean abortRequested,
    String reason) {

  private static final ObjectMapper MAPPER = JsonIds.mapper();

  /** Rejects values that are out of range. */
  public MoveRecord {
    if (cap <= 0 || cap > 1 || step <= 0 || step > cap) {
      throw new IllegalArgumentException("move " + id + " needs 0 < step <= cap <= 1");
    }
    if (split < 0 || split > 1 || windowMillis <= 0) {
      throw new IllegalArgumentException(
          "move " + id + " needs a split from 0 to 1 and a window above 0");
    }
  }

  /** Returns the record with a new state, split and reason. */
  MoveRecord with(MoveState newState, double newSplit, long newRemainingMillis, String newReason) {
    return new MoveRecord(
        id,
        service,
        from,
        to,
        cap,
        step,
        windowMillis,
        Math.max(0, newRemainingMillis),
        newState,
        Math.max(0, Math.min(1, newSplit)),
        abortRequested,
        newReason);
  }

  /**
   * Returns the record with an abort request; later steps lower the split, not the request itself.
   */
  MoveRecord aborted(String newReason) {
    return new MoveRecord(
        id,
        service,
        from,
        to,
        cap,
        step,
        windowMillis,
        remainingMillis,
        MoveState.TAKING_BACK,
        split,
        true,
        newReason);
  }

  /** Returns the JSON form for the table service. */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException exception) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL, "Move " + id + " cannot be written as JSON.", exception);
    }
  }

  /**
   * Returns the JSON form that replaces a stored one. Fields unknown to this record, such as the
   * operator's operation id, are kept.
   */
  public String toJson(String stored) {
    try {
      ObjectNode merged = (ObjectNode) MAPPER.readTree(stored);
      merged.setAll((ObjectNode) MAPPER.valueToTree(this));
      return MAPPER.writeValueAsString(merged);
    } catch (JsonProcessingException exception) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL, "Move " + id + " cannot be written as JSON.", exception);
    }
  }

  /** Parses the JSON form. */
  public static MoveRecord fromJson(String json) {
    try {
      return MAPPER.readValue(json, MoveRecord.class);
    } catch (JsonProcessingException exception) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL,
          "A move record is not valid JSON. Repair or delete its row.",
          exception);
    }
  }
}
