package org.toucanrack.internal.coordination.move;

import java.util.Optional;

/**
 * What to do about a move now. Immutable and thread-safe.
 *
 * @param next the record to write on the condition that the planned one is unchanged; empty to wait
 * @param reason one sentence on the change or the wait
 */
public record MoveDecision(Optional<MoveRecord> next, String reason) {

  static MoveDecision waiting(String reason) {
    return new MoveDecision(Optional.empty(), reason);
  }

  static MoveDecision write(MoveRecord next) {
    return new MoveDecision(Optional.of(next), next.reason());
  }
}
