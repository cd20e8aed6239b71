package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.state.shared.SharedBoard;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;

/**
 * Follows one table of the store: reads it once and then waits for changes.
 *
 * <p>Invariant: at most one call is open. Confined to the control thread.
 */
final class StoreFollower {

  /** How long the store may hold a call without changes; calls are priced, so long. */
  private static final Duration WAIT = Duration.ofSeconds(29);

  /** Servers announce themselves in groups; one call then tells several of them. */
  private static final long SERVERS_PAUSE_MS = 250;

  /** In a large fleet some VM asks soon enough at any time, and tells the others. */
  private static final int VMS_PER_SERVERS_PAUSE = 25;

  /** How often a VM that learns from others looks whether it still can. */
  private static final long STANDBY_PAUSE_MS = 1000;

  private static final long FIRST_PAUSE_MS = 80;
  private static final long LONGEST_PAUSE_MS = 1000;

  /** Longest pause while another VM reaches the store and tells what changes. */
  private static final long TOLD_PAUSE_MS = 1500;

  /** A store that is slow for all VMs is not asked more often than this. */
  private static final long RESTART_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Pause before a table is read again that came from a replica behind. */
  private static final long STALE_PAUSE_MS = 300;

  private final NioReactor reactor;
  private final SharedStore store;
  private final SharedTable table;
  private final SharedBoard board;
  private final Listener listener;
  private long after = -1;
  private long generation;
  private long startedNanos;
  private long pauseMillis = FIRST_PAUSE_MS;

  /** Learns what the follower finds. */
  interface Listener {

    /** The store answered. */
    void reached(SharedTable table);

    /** The store did not answer, or refused. */
    void missed(SharedTable table, String reason);

    /** A row may have changed. */
    void merge(SharedRow row);

    /** Returns the number of other VMs that follow the store. */
    int otherFollowers();

    /** Returns whether other VMs tell what changes, so that the store need not be asked. */
    boolean learnsFromOthers();

    /** Returns whether a VM that is heard reaches the store. */
    boolean othersReachStore();

    /** The whole table was read as of a revision. */
    void replace(SharedTable table, List<SharedRow> rows, long revision);
  }

  StoreFollower(
      NioReactor reactor,
      SharedStore store,
      SharedTable table,
      SharedBoard board,
      Listener listener) {
    this.reactor = reactor;
    this.store = store;
    this.table = table;
    this.board = board;
    this.listener = listener;
  }

  /** Starts to follow. */
  void start() {
    startedNanos = System.nanoTime();
    next(++generation);
  }

  /** Gives up the open call, which missed a change that another VM has learned meanwhile. */
  void restart() {
    if (System.nanoTime() - startedNanos > RESTART_INTERVAL_NANOS) {
      start();
    }
  }

  private void next(long mine) {
    if (mine != generation) {
      return;
    }
    if (after < 0) {
      store.read(table).thenAccept(answer -> read(mine, answer));
    } else if (listener.learnsFromOthers()) {
      later(mine, STANDBY_PAUSE_MS);
    } else {
      store.changes(table, after, WAIT).thenAccept(answer -> changed(mine, answer));
    }
  }

  private void read(long mine, StoreAnswer<SharedStore.Rows> answer) {
    if (mine != generation) {
      return;
    }
    if (!(answer instanceof StoreAnswer.Done<SharedStore.Rows> done)) {
      missed(mine, answer);
      return;
    }
    SharedStore.Rows rows = done.value();
    if (rows.revision() < board.newestRow(table)) {
      rows.rows().forEach(listener::merge);
      later(mine, STALE_PAUSE_MS);
      return;
    }
    listener.replace(table, rows.rows(), rows.revision());
    after = rows.revision();
    reached(mine);
  }

  private void changed(long mine, StoreAnswer<SharedStore.Rows> answer) {
    if (mine != generation) {
      return;
    }
    if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done) {
      done.value().rows().forEach(listener::merge);
      after = Math.max(after, done.value().revision());
      reached(mine);
    } else if (answer instanceof StoreAnswer.Refused<SharedStore.Rows>) {
      // The history is gone: read the table again.
      after = -1;
      later(mine, FIRST_PAUSE_MS);
    } else {
      missed(mine, answer);
    }
  }

  private void reached(long mine) {
    pauseMillis = FIRST_PAUSE_MS;
    listener.reached(table);
    if (table == SharedTable.SERVERS) {
      later(mine, SERVERS_PAUSE_MS * (1 + listener.otherFollowers() / VMS_PER_SERVERS_PAUSE));
    } else {
      next(mine);
    }
  }

  private void missed(long mine, StoreAnswer<SharedStore.Rows> answer) {
    String reason =
        answer instanceof StoreAnswer.Unknown<SharedStore.Rows> unknown
            ? unknown.reason()
            : ((StoreAnswer.Refused<SharedStore.Rows>) answer).reason();
    listener.missed(table, reason);
    later(mine, pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis));
    pauseMillis =
        Math.min(listener.othersReachStore() ? TOLD_PAUSE_MS : LONGEST_PAUSE_MS, pauseMillis * 2);
  }

  private void later(long mine, long millis) {
    reactor.delayBackground(millis, () -> next(mine));
  }
}
