package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.toucanrack.internal.coordination.move.MoveState;

/** State names of move records, and their description for operators. Stateless and thread-safe. */
final class MoveText {

  static final String RUNNING = MoveState.RUNNING.text();
  static final String TAKING_BACK = MoveState.TAKING_BACK.text();
  static final String ABORTED = MoveState.ABORTED.text();

  private MoveText() {}

  static String describe(JsonNode move) {
    return "%s from %s to %s: %s, split %s, at most %s per %d s, deadline %s. %s"
        .formatted(
            move.path("service").asText(),
            move.path("from").asText(),
            move.path("to").asText(),
            move.path("state").asText(),
            move.path("split").asText(),
            move.path("cap").asText(),
            move.path("windowMillis").asLong() / 1000,
            move.path("deadline").asText(),
            move.path("reason").asText());
  }
}
