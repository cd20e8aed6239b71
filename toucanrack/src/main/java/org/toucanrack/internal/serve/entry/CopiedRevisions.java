package org.toucanrack.internal.serve.entry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.StoreEpoch;

/**
 * Lower bounds of the revision that the copy had reached from which the store came back. A row that
 * an earlier and the current epoch have with the same revision and value was in the copy, and with
 * it all rows up to this revision. Those that the store lacks were removed after the restore.
 * Confined to the control thread.
 */
final class CopiedRevisions {

  private final Map<StoreEpoch, Long> reached = new HashMap<>();
  private StoreEpoch current = StoreEpoch.NONE;

  /** Learns from a table of an earlier epoch and its rows in a later one. */
  void tableRead(CarriedRows.TableRows before, CarriedRows.TableRows read) {
    if (read.epoch().isAfter(current)) {
      current = read.epoch();
      reached.clear();
    }
    Map<SharedRow.RowKey, SharedRow> readRows = new HashMap<>();
    read.rows().forEach(row -> readRows.put(row.key(), row));
    for (SharedRow row : before.rows()) {
      SharedRow same = readRows.get(row.key());
      boolean isUnchanged =
          same != null
              && !row.isRemoved()
              && same.revision() == row.revision()
              && Arrays.equals(same.value(), row.value());
      if (isUnchanged) {
        reached.merge(before.epoch(), row.revision(), Math::max);
      }
    }
  }

  /** Returns whether the copy is known to have reached a revision of an earlier epoch. */
  boolean hasReached(long revision, StoreEpoch epoch) {
    return revision <= reached.getOrDefault(epoch, -1L);
  }
}
