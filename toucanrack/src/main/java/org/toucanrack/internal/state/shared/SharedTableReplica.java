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
import org.toucanrack.steering.StoreEpoch;

/**
 * Local replica of the shared tables. Rows are merged from the store and from other VMs.
 *
 * <p>Invariants: the rows of a table belong to one epoch of the store, which never falls; a table
 * enters a later epoch only as a whole. Within an epoch, a row is replaced only by one with a
 * higher revision, so updates may arrive late or out of order; a row that the store no longer had
 * as of the complete revision of its table is not added again. Removed rows are kept as tombstones
 * with their revision. Confined to the control thread.
 */
public final class SharedTableReplica {

  private final Map<SharedTable, Contents> tables = new EnumMap<>(SharedTable.class);
  private StoreEpoch epoch = StoreEpoch.NONE;

  private static final class Contents {
    private final Map<String, SharedRow> rows = new HashMap<>();
    private StoreEpoch epoch = StoreEpoch.NONE;
    private long completeRevision;
  }

  /** Creates an empty replica. */
  public SharedTableReplica() {
    for (SharedTable table : SharedTable.values()) {
      tables.put(table, new Contents());
    }
  }

  /** Returns the latest epoch that this VM has heard of; tables can still be of an earlier one. */
  public StoreEpoch epoch() {
    return epoch;
  }

  /** Returns the epoch that the rows of a table belong to. */
  public StoreEpoch epoch(SharedTable table) {
    return tables.get(table).epoch;
  }

  /** Returns whether a table has been read in the latest epoch. */
  public boolean isCurrent(SharedTable table) {
    return epoch(table).equals(epoch);
  }

  /**
   * Records that the store has reached an epoch; returns whether it is later than the known one.
   */
  public boolean observeEpoch(StoreEpoch observed) {
    if (!observed.isAfter(epoch)) {
      return false;
    }
    epoch = observed;
    return true;
  }

  /**
   * Merges a row of an epoch; returns whether it was newer than the stored one. A row of another
   * epoch than that of its table is ignored.
   *
   * <p>A row without a stored counterpart is ignored if it is not newer than the complete revision:
   * the store has removed it by then, and there is no tombstone since this replica never had it.
   */
  public boolean merge(SharedRow row, StoreEpoch rowEpoch) {
    Contents table = tables.get(row.key().table());
    boolean wasRemoved =
        !table.rows.containsKey(row.key().name()) && row.revision() <= table.completeRevision;
    return rowEpoch.equals(table.epoch) && !wasRemoved && mergeCurrent(row);
  }

  private boolean mergeCurrent(SharedRow row) {
    Map<String, SharedRow> rows = tables.get(row.key().table()).rows;
    SharedRow stored = rows.get(row.key().name());
    if (stored != null && stored.revision() >= row.revision()) {
      return false;
    }
    rows.put(row.key().name(), row);
    return true;
  }

  /**
   * Replaces a table by its contents as of a revision. Stored rows that the contents lack are
   * removed, unless they are newer than that revision. Contents of a later epoch displace all
   * stored rows; contents of an earlier one are ignored.
   *
   * @return the rows that changed; in a later epoch, all rows of the contents and the removed ones
   */
  public List<SharedRow> replace(
      SharedTable table, Collection<SharedRow> rows, long revision, StoreEpoch rowsEpoch) {
    Contents contents = tables.get(table);
    if (contents.epoch.isAfter(rowsEpoch)) {
      return List.of();
    }
    if (rowsEpoch.isAfter(contents.epoch)) {
      return enterEpoch(table, rows, revision, rowsEpoch);
    }
    List<SharedRow> changed = new ArrayList<>();
    Set<String> presentNames = new HashSet<>();
    for (SharedRow row : rows) {
      presentNames.add(row.key().name());
      if (mergeCurrent(row)) {
        changed.add(row);
      }
    }
    for (SharedRow stored : new ArrayList<>(contents.rows.values())) {
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
    advance(table, revision, rowsEpoch);
    return changed;
  }

  private List<SharedRow> enterEpoch(
      SharedTable table, Collection<SharedRow> rows, long revision, StoreEpoch rowsEpoch) {
    Contents contents = tables.get(table);
    final List<SharedRow> before = new ArrayList<>(contents.rows.values());
    contents.rows.clear();
    contents.epoch = rowsEpoch;
    contents.completeRevision = revision;
    observeEpoch(rowsEpoch);
    rows.forEach(this::mergeCurrent);
    for (SharedRow row : before) {
      if (!row.isRemoved() && !contents.rows.containsKey(row.key().name())) {
        mergeCurrent(new SharedRow(row.key(), revision, null));
      }
    }
    return new ArrayList<>(contents.rows.values());
  }

  /** Records that all changes of a table up to a revision have been merged from the store. */
  public void advance(SharedTable table, long revision, StoreEpoch revisionEpoch) {
    Contents contents = tables.get(table);
    if (contents.epoch.equals(revisionEpoch)) {
      contents.completeRevision = Math.max(contents.completeRevision, revision);
    }
  }

  /** Returns a row, unless it is unknown or removed. */
  public Optional<SharedRow> row(SharedTable table, String name) {
    return Optional.ofNullable(tables.get(table).rows.get(name)).filter(row -> !row.isRemoved());
  }

  /** Returns all rows of a table that are not removed. */
  public List<SharedRow> rows(SharedTable table) {
    return tables.get(table).rows.values().stream().filter(row -> !row.isRemoved()).toList();
  }

  /** Returns all rows with a higher revision, including removed ones. */
  public List<SharedRow> rowsAfter(SharedTable table, long revision) {
    return tables.get(table).rows.values().stream()
        .filter(row -> row.revision() > revision)
        .toList();
  }

  /** Returns the highest revision of any row of the table, or 0 if it has none. */
  public long newestRevision(SharedTable table) {
    return tables.get(table).rows.values().stream().mapToLong(SharedRow::revision).max().orElse(0);
  }

  /** Returns the revision up to which the store has delivered all changes of the table. */
  public long completeRevision(SharedTable table) {
    return tables.get(table).completeRevision;
  }

  /** Returns the highest revision of which this replica has any change of the table. */
  public long latestRevision(SharedTable table) {
    return Math.max(newestRevision(table), completeRevision(table));
  }
}
