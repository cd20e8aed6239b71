package org.toucanrack.internal.coordination.control;

import java.util.List;
import org.toucanrack.internal.state.TrafficSplit;
import org.toucanrack.internal.state.VersionShare;
import org.toucanrack.platform.Row;

/**
 * Derives traffic splits and version shares from the rows of moves and rollouts. Called on the
 * control thread for each snapshot; must not block.
 */
public interface OperatorRecordDecoder {

  /** A decoder for deployments without moves and rollouts. */
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
