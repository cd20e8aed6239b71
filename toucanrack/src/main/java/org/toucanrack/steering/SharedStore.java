package org.toucanrack.steering;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.toucanrack.platform.StoreAnswer;

/**
 * The platform's store, as an entry VM uses it. Calls complete on the event loop that made them,
 * and never complete exceptionally.
 */
public interface SharedStore {

  /** Reads a whole table, in several pages if needed. */
  CompletionStage<StoreAnswer<Rows>> read(SharedTable table);

  /**
   * Waits for changes of a table (long polling). Refused if the store has discarded the changes
   * since that revision or never had it, so that the table has to be read again.
   *
   * @param after the revision after which changes are returned
   * @param wait how long the store may hold the call open while nothing changes
   */
  CompletionStage<StoreAnswer<Rows>> changes(SharedTable table, long after, Duration wait);

  /**
   * Writes a row if it has the expected revision.
   *
   * <p>The store does not check the epoch of a condition. A condition of an earlier epoch than the
   * known one is therefore refused without a call, and if the answer shows a later epoch, the
   * outcome is unknown.
   *
   * @param expectedRevision the required revision, 0 if the row must not exist, or -1 for any
   * @param epoch the epoch in which the expected revision was read; ignored for any revision
   */
  CompletionStage<StoreAnswer<Void>> write(
      SharedRow.RowKey key, byte[] value, long expectedRevision, StoreEpoch epoch);

  /**
   * Returns the current time of the store's monotonic clock, which all VMs share and which keeps
   * running while they are down. It is derived from the answers of the store; empty before the
   * first one.
   */
  Optional<Duration> time();

  /** Removes a row if it has the expected revision, as in {@link #write}. */
  CompletionStage<StoreAnswer<Void>> remove(
      SharedRow.RowKey key, long expectedRevision, StoreEpoch epoch);

  /** Returns the latest epoch in any answer, {@link StoreEpoch#NONE} before the first one. */
  StoreEpoch epoch();

  /**
   * Rows of a table, complete up to a revision of the store.
   *
   * @param rows the rows
   * @param revision the revision up to which the rows are complete
   * @param epoch the epoch that the revisions belong to
   */
  record Rows(List<SharedRow> rows, long revision, StoreEpoch epoch) {}
}
