package org.toucanrack.internal.state.shared;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;

/**
 * Local replica of the shared tables. Rows are merged from the store and from other VMs.
 *
 * <p>Invariants: a row is replaced only by one with a higher revision, so updates may arrive late
 * or out of order; a row that the store no longer had as of the complete revision of its table is
 * not added again. Removed rows are kept as tombstones with their revision. Confined to the control
 * thread.
 */
public final class SharedTableReplica {

  private final Map<SharedTable, Map<String, SharedRow>> tables = new EnumMap<>(SharedTable.class);
  private final Map<SharedTable, Long> completeRevisions = new EnumMap<>(SharedTable.class);

  /** Creates an empty replica. */
  public SharedTableReplica() {
    for (SharedTable table : SharedTable.values()) {
      tables.put(table, new HashMap<>());
      completeRevisions.put(table, 0L);
    }
  }

  /**
   * Merges a row; returns whether it was newer than the stored one.
   *
   * <p>A row without a stored counterpart is ignored if it is not newer than the complete revision:
   * the store has removed it by then, and there is no tombstone since this replica never had it.
   */
  public boolean merge(SharedRow row) {
    boolean wasRemoved =
        !tables.get(row.key().table()).containsKey(row.key().name())
            && row.revision() <= completeRevision(row.key().table());
    return !wasRemoved && mergeCurrent(row);
  }

  private boolean mergeCurrent(SharedRow row) {
    Map<String, SharedRow> rows = tables.get(row.key().table());
    SharedRow stored = rows.get(row.key().name());
    if (stored != null && stored.revision() >= row.revision()) {
      return false;
    }
    rows.put(row.key().name(), row);
    return true;
  }

  /**
   * Replaces a table by its contents as of a revision. Stored rows that the contents lack are
   * removed, unless they are newer than that revision.
   *
   * @return the rows that changed
   */
  public List<SharedRow> replace(SharedTable table, Collection<SharedRow> rows, long revision) {
    List<SharedRow> changed = new ArrayList<>();
    Set<String> presentNames = new HashSet<>();
    for (SharedRow row : rows) {
      presentNames.add(row.key().name());
      if (mergeCurrent(row)) {
        changed.add(row);
      }
    }
    for (SharedRow stored : new ArrayList<>(tables.get(table).values())) {
      boolean isMissing =
          !stored.isRemoved()
              && !presentNames.contains(stored.key().name())
              && stored.revision() <= revision;
      if (isMissing) {
        SharedRow removed = new SharedRow(stored.key(), revision, null);
        mergeCurrent(removed);
        changed.add(removed);
      }
    }
    advance(table, revision);
    return changed;
  }

  /** Records that all changes of a table up to a revision have been merged from the store. */
  public void advance(SharedTable table, long revision) {
    completeRevisions.merge(table, revision, Math::max);
  }

  /** Returns a row, unless it is unknown or removed. */
  public Optional<SharedRow> row(SharedTable table, String name) {
    return Optional.ofNullable(tables.get(table).get(name)).filter(row -> !row.isRemoved());
  }

  /** Returns all rows of a table that are not removed. */
  public List<SharedRow> rows(SharedTable table) {
    return tables.get(table).values().stream().filter(row -> !row.isRemoved()).toList();
  }

  /** Returns all rows with a higher revision, including removed ones. */
  public List<SharedRow> rowsAfter(SharedTable table, long revision) {
    return tables.get(table).values().stream().filter(row -> row.revision() > revision).toList();
  }

  /** Returns the highest revision of any row of the table, or 0 if it has none. */
  public long newestRevision(SharedTable table) {
    return tables.get(table).values().stream().mapToLong(SharedRow::revision).max().orElse(0);
  }

  /** Returns the revision up to which the store has delivered all changes of the table. */
  public long completeRevision(SharedTable table) {
    return completeRevisions.get(table);
  }

  /** Returns the highest revision of which this replica has any change of the table. */
  public long latestRevision(SharedTable table) {
    return Math.max(newestRevision(table), completeRevision(table));
  }
}
