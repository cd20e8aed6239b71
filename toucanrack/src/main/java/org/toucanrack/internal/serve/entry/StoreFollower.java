package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.state.shared.SharedTableReplica;
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
  private static final Duration MAX_CHANGE_WAIT = Duration.ofSeconds(29);

  /** Servers announce themselves in groups; one call then tells several of them. */
  private static final long SERVERS_POLL_PAUSE_MS = 250;

  /** In a large fleet some VM asks soon enough at any time, and tells the others. */
  private static final int VMS_PER_SERVERS_POLL_PAUSE = 25;

  /** How often a VM that learns from others looks whether it still can. */
  private static final long STANDBY_CHECK_INTERVAL_MS = 1000;

  private static final long INITIAL_RETRY_PAUSE_MS = 80;
  private static final long MAX_RETRY_PAUSE_MS = 1000;

  /** Longest pause while another VM reaches the store and tells what changes. */
  private static final long MAX_RETRY_PAUSE_WITH_PEERS_MS = 1500;

  /** A store that is slow for all VMs is not asked more often than this. */
  private static final long MIN_RESTART_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Pause before a table is read again that came from a replica behind. */
  private static final long STALE_READ_PAUSE_MS = 300;

  private final NioReactor reactor;
  private final SharedStore store;
  private final SharedTable table;
  private final SharedTableReplica board;
  private final Listener listener;
  private long knownRevision = -1;
  private long generation;
  private long startedNanos;
  private long retryPauseMillis = INITIAL_RETRY_PAUSE_MS;

  /** Learns what the follower finds. */
  interface Listener {

    /** The store answered. */
    void storeAnswered(SharedTable table);

    /** The store did not answer, or refused. */
    void storeFailed(SharedTable table, String reason);

    /** A row may have changed. */
    void merge(SharedRow row);

    /** Returns the number of other VMs that follow the store. */
    int otherFollowers();

    /** Returns whether other VMs tell what changes, so that the store need not be asked. */
    boolean receivesUpdatesFromPeers();

    /** Returns whether a VM that is heard reaches the store. */
    boolean peersReachStore();

    /** The whole table was read as of a revision. */
    void replace(SharedTable table, List<SharedRow> rows, long revision);
  }

  StoreFollower(
      NioReactor reactor,
      SharedStore store,
      SharedTable table,
      SharedTableReplica board,
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
    callStore(++generation);
  }

  /** Gives up the open call, which missed a change that another VM has learned meanwhile. */
  void restart() {
    if (System.nanoTime() - startedNanos > MIN_RESTART_INTERVAL_NANOS) {
      start();
    }
  }

  private void callStore(long callGeneration) {
    if (callGeneration != generation) {
      return;
    }
    if (knownRevision < 0) {
      store.read(table).thenAccept(answer -> tableRead(callGeneration, answer));
    } else if (listener.receivesUpdatesFromPeers()) {
      callStoreLater(callGeneration, STANDBY_CHECK_INTERVAL_MS);
    } else {
      store
          .changes(table, knownRevision, MAX_CHANGE_WAIT)
          .thenAccept(answer -> changesReceived(callGeneration, answer));
    }
  }

  private void tableRead(long callGeneration, StoreAnswer<SharedStore.Rows> answer) {
    if (callGeneration != generation) {
      return;
    }
    if (!(answer instanceof StoreAnswer.Done<SharedStore.Rows> done)) {
      callFailed(callGeneration, answer);
      return;
    }
    SharedStore.Rows rows = done.value();
    if (rows.revision() < board.newestRevision(table)) {
      rows.rows().forEach(listener::merge);
      callStoreLater(callGeneration, STALE_READ_PAUSE_MS);
      return;
    }
    listener.replace(table, rows.rows(), rows.revision());
    knownRevision = rows.revision();
    callSucceeded(callGeneration);
  }

  private void changesReceived(long callGeneration, StoreAnswer<SharedStore.Rows> answer) {
    if (callGeneration != generation) {
      return;
    }
    if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done) {
      done.value().rows().forEach(listener::merge);
      knownRevision = Math.max(knownRevision, done.value().revision());
      callSucceeded(callGeneration);
    } else if (answer instanceof StoreAnswer.Refused<SharedStore.Rows>) {
      // The history is gone: read the table again.
      knownRevision = -1;
      callStoreLater(callGeneration, INITIAL_RETRY_PAUSE_MS);
    } else {
      callFailed(callGeneration, answer);
    }
  }

  private void callSucceeded(long callGeneration) {
    retryPauseMillis = INITIAL_RETRY_PAUSE_MS;
    listener.storeAnswered(table);
    if (table == SharedTable.SERVERS) {
      callStoreLater(
          callGeneration,
          SERVERS_POLL_PAUSE_MS * (1 + listener.otherFollowers() / VMS_PER_SERVERS_POLL_PAUSE));
    } else {
      callStore(callGeneration);
    }
  }

  private void callFailed(long callGeneration, StoreAnswer<SharedStore.Rows> answer) {
    String reason =
        answer instanceof StoreAnswer.Unknown<SharedStore.Rows> unknown
            ? unknown.reason()
            : ((StoreAnswer.Refused<SharedStore.Rows>) answer).reason();
    listener.storeFailed(table, reason);
    callStoreLater(
        callGeneration,
        retryPauseMillis / 2 + ThreadLocalRandom.current().nextLong(retryPauseMillis));
    retryPauseMillis =
        Math.min(
            listener.peersReachStore() ? MAX_RETRY_PAUSE_WITH_PEERS_MS : MAX_RETRY_PAUSE_MS,
            retryPauseMillis * 2);
  }

  private void callStoreLater(long callGeneration, long millis) {
    reactor.delayBackground(millis, () -> callStore(callGeneration));
  }
}
