package org.toucanrack.internal.coordination.control;

import java.util.List;
import org.toucanrack.internal.state.TrafficSplit;
import org.toucanrack.internal.state.VersionShare;
import org.toucanrack.platform.Row;

/**
 * Derives the parts of a snapshot that moves and rollouts define from their rows. Called on the
 * control loop after each change of the rows; must not block.
 */
public interface OperatorRecordDecoder {

  /** Parts of a deployment without moves and rollouts. */
  OperatorRecordDecoder NONE = new OperatorRecordDecoder() {};

  /** Returns the traffic splits for the rows with the prefix {@code move/}. */
  default List<TrafficSplit> splits(List<Row> moves) {
    return List.of();
  }

  /** Returns the version shares for the rows with the prefix {@code rollout/}. */
  default List<VersionShare> versionShares(List<Row> rollouts) {
    return List.of();
  }
}
