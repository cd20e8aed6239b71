package org.toucanrack.internal.coordination.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.state.JsonIds;

/**
 * The stored state of a rollout, in the row {@code rollout/SERVICE/VERSION}. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param version the version that is rolled out
 * @param declaration the declaration that this rollout belongs to
 * @param share fraction of the traffic that the version may get
 * @param state the state
 * @param reason one sentence on the last change
 */
public record RolloutRecord(
    ServiceId service,
    VersionId version,
    int declaration,
    double share,
    RolloutState state,
    String reason) {

  private static final ObjectMapper MAPPER = JsonIds.mapper();

  /** Rejects a share that does not fit the state. */
  public RolloutRecord {
    if (share < 0 || share > 1 || (state == RolloutState.TAKEN_BACK && share > 0)) {
      throw new IllegalArgumentException("share %s does not fit %s".formatted(share, state));
    }
  }

  /** Returns the record of the rollback after a fault. */
  public RolloutRecord takenBack(String newReason) {
    return new RolloutRecord(service, version, declaration, 0, RolloutState.TAKEN_BACK, newReason);
  }

  RolloutRecord advanced(double newShare, RolloutState newState, String newReason) {
    return new RolloutRecord(service, version, declaration, newShare, newState, newReason);
  }

  /** Returns the JSON form for the table service. */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException exception) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL, "A rollout record cannot be written as JSON.", exception);
    }
  }

  /** Parses the JSON form. */
  public static RolloutRecord fromJson(String json) {
    try {
      return MAPPER.readValue(json, RolloutRecord.class);
    } catch (JsonProcessingException exception) {
      throw new ToucanrackException(
          ErrorCode.INTERNAL,
          "A rollout record is not valid JSON. Repair or delete its row.",
          exception);
    }
  }
}
