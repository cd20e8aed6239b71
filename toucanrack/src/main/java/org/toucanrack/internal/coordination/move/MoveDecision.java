package org.toucanrack.internal.coordination.move;

import java.util.Optional;

/**
 * The outcome of planning a move: a record to write, or a wait. Immutable and thread-safe.
 *
 * @param next the record to write on the condition that the stored one is unchanged; empty to wait
 * @param reason one sentence that explains the change or the wait
 */
public record MoveDecision(Optional<MoveRecord> next, String reason) {

  static MoveDecision waiting(String reason) {
    return new MoveDecision(Optional.empty(), reason);
  }

  static MoveDecision write(MoveRecord next) {
    return new MoveDecision(Optional.of(next), next.reason());
  }
}
