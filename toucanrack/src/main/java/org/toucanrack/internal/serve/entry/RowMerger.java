package org.toucanrack.internal.serve.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Merges rows of the store into the replica and brings them into force, unless a row of an earlier
 * epoch is carried instead.
 *
 * <p>Invariant: each change of the replica is decided about once. Confined to the control thread.
 */
final class RowMerger {

  private final SharedTableReplica replica;
  private final CarriedRows carriedRows;
  private final DecodedRows decodedRows;
  private final RetainedServers retainedServers;
  private final RolloutCoordinator rollouts;
  private final MemberListing listing;
  private final LongSupplier clock;
  private boolean changed;

  RowMerger(
      SharedTableReplica replica,
      CarriedRows carriedRows,
      DecodedRows decodedRows,
      RetainedServers retainedServers,
      RolloutCoordinator rollouts,
      MemberListing listing,
      LongSupplier clock) {
    this.replica = replica;
    this.carriedRows = carriedRows;
    this.decodedRows = decodedRows;
    this.retainedServers = retainedServers;
    this.rollouts = rollouts;
    this.listing = listing;
    this.clock = clock;
  }

  /** Merges a row, which may be older than the known one or of an earlier epoch. */
  void merge(SharedRow row, StoreEpoch epoch) {
    Optional<SharedRow> before = replica.row(row.key().table(), row.key().name());
    if (replica.merge(row, epoch) && carriedRows.rowWritten(row, before, clock.getAsLong())) {
      apply(row);
    }
  }

  /** Replaces the known rows of a table by its contents, unless these are of an earlier epoch. */
  void replace(SharedTable table, SharedStore.Rows read) {
    long now = clock.getAsLong();
    List<SharedRow> before = replica.rowsAfter(table, -1);
    final StoreEpoch epochBefore = replica.epoch(table);
    final boolean entersEpoch = read.epoch().isAfter(epochBefore);
    List<SharedRow> changes = replica.replace(table, read.rows(), read.revision(), read.epoch());
    if (!entersEpoch) {
      for (SharedRow row : changes) {
        if (carriedRows.rowWritten(row, present(before, row.key()), now)) {
          apply(row);
        }
      }
      return;
    }
    if (table == SharedTable.REPORTS) {
      // Reports that the copy lacks are written again.
      rollouts.forgetReports();
    }
    carriedRows
        .tableRead(
            table,
            new CarriedRows.TableRows(before, epochBefore),
            new CarriedRows.TableRows(changes, read.epoch()),
            now,
            retainedServers.carriedUntil(now))
        .forEach(this::apply);
  }

  private static Optional<SharedRow> present(List<SharedRow> rows, SharedRow.RowKey key) {
    return rows.stream().filter(row -> row.key().equals(key) && !row.isRemoved()).findFirst();
  }

  /** Adopts a row that another VM carries; ignored before the own table is of this epoch. */
  void adoptCarried(CarriedRows.Copy copy) {
    SharedRow.RowKey key = copy.row().key();
    if (replica.isCurrent(key.table())) {
      carriedRows
          .adopt(copy, replica.row(key.table(), key.name()), clock.getAsLong())
          .ifPresent(this::apply);
    }
  }

  /** Brings the store's rows into force where the time for which others were carried is over. */
  void removeExpired() {
    for (SharedRow row : carriedRows.removeExpired(clock.getAsLong())) {
      changed = true;
      if (row.key().table() == SharedTable.ORDERS) {
        decodedRows.restoreOrder(row);
      } else {
        decodedRows.applyServer(row);
      }
    }
  }

  /** Returns whether any row came into force since the last call. */
  boolean takeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  private void apply(SharedRow row) {
    changed = true;
    switch (row.key().table()) {
      case ORDERS -> decodedRows.applyOrder(row);
      case SERVERS -> applyServer(row);
      case REPORTS -> rollouts.applyReport(row, clock.getAsLong());
      default -> listing.applyRow(row, clock.getAsLong());
    }
  }

  private void applyServer(SharedRow row) {
    Optional<AnnouncedServer> before = decodedRows.server(row.key().name());
    decodedRows.applyServer(row);
    retainedServers.rowChanged(row.key().name());
    if (row.isRemoved()) {
      before.ifPresent(server -> retainedServers.rowRemoved(row, server, clock.getAsLong()));
    }
  }
}
