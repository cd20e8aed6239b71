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
 * The newest known state of each followed row, whoever told it: the store or another VM.
 *
 * <p>Invariant: a row only changes to a higher revision, so nothing ever goes back. Removed rows
 * are remembered with their revision. Confined to the control thread.
 */
public final class SharedTableReplica {

  private final Map<SharedTable, Map<String, SharedRow>> tables = new EnumMap<>(SharedTable.class);
  private final Map<SharedTable, Long> revisions = new EnumMap<>(SharedTable.class);

  /** Creates an empty board. */
  public SharedTableReplica() {
    for (SharedTable table : SharedTable.values()) {
      tables.put(table, new HashMap<>());
      revisions.put(table, 0L);
    }
  }

  /** Takes over a row; returns whether it was newer than what was stored. */
  public boolean merge(SharedRow row) {
    Map<String, SharedRow> rows = tables.get(row.key().table());
    SharedRow stored = rows.get(row.key().name());
    revisions.merge(row.key().table(), row.revision(), Math::max);
    if (stored != null && stored.revision() >= row.revision()) {
      return false;
    }
    rows.put(row.key().name(), row);
    return true;
  }

  /**
   * Takes over a whole table as of a revision: rows that it lacks are removed unless they are
   * newer.
   *
   * @return the rows that changed
   */
  public List<SharedRow> replace(SharedTable table, Collection<SharedRow> rows, long revision) {
    List<SharedRow> changed = new ArrayList<>();
    Set<String> presentNames = new HashSet<>();
    for (SharedRow row : rows) {
      presentNames.add(row.key().name());
      if (merge(row)) {
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
        merge(removed);
        changed.add(removed);
      }
    }
    revisions.merge(table, revision, Math::max);
    return changed;
  }

  /** Returns a row that exists. */
  public Optional<SharedRow> row(SharedTable table, String name) {
    return Optional.ofNullable(tables.get(table).get(name)).filter(row -> !row.isRemoved());
  }

  /** Returns all rows of a table that exist. */
  public List<SharedRow> rows(SharedTable table) {
    return tables.get(table).values().stream().filter(row -> !row.isRemoved()).toList();
  }

  /** Returns all rows after a revision, removed ones included. */
  public List<SharedRow> rowsAfter(SharedTable table, long revision) {
    return tables.get(table).values().stream().filter(row -> row.revision() > revision).toList();
  }

  /** Returns the newest revision of any row of the table. */
  public long newestRevision(SharedTable table) {
    return tables.get(table).values().stream().mapToLong(SharedRow::revision).max().orElse(0);
  }

  /** Returns the revision up to which the table is known. */
  public long revision(SharedTable table) {
    return revisions.get(table);
  }
}
