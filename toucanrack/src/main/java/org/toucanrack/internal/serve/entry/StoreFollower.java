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
import org.toucanrack.steering.StoreEpoch;

/**
 * Follows one table of the store: reads it once and then waits for changes with long polls.
 *
 * <p>Invariant: at most one call is current. Of late answers to earlier calls, the changes are
 * merged, but only the current call tells how far this VM has read. Answers of an earlier epoch of
 * the store than the known one are ignored. Confined to the control thread.
 */
final class StoreFollower {

  /**
   * Time for which the store may hold a call open without changes; long, since each call costs
   * money.
   */
  private static final Duration MAX_CHANGE_WAIT = Duration.ofSeconds(29);

  /**
   * The same for the servers on the VM that watches the store. A lost answer is noticed once this
   * time and the time-out of the answer are over; changes have to reach all VMs within 4 s.
   */
  private static final Duration WATCHER_CHANGE_WAIT = Duration.ofMillis(1800);

  /** Minimum time between two checks of a table, since other tables may change all the time. */
  private static final long MIN_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

  /**
   * Pause between two calls for servers. Servers announce themselves in groups, so one call then
   * returns several of them.
   */
  private static final long SERVERS_POLL_PAUSE_MS = 250;

  /**
   * Each full multiple of this many other followers adds one pause. In a large fleet some VM calls
   * soon enough at any time and announces the changes to the others.
   */
  private static final int VMS_PER_SERVERS_POLL_PAUSE = 25;

  /** Interval at which a VM that gets changes from others checks whether it still does. */
  private static final long STANDBY_CHECK_INTERVAL_MS = 1000;

  private static final long INITIAL_RETRY_PAUSE_MS = 80;
  private static final long MAX_RETRY_PAUSE_MS = 1000;

  /** Upper limit of the retry pause while another VM reaches the store and announces changes. */
  private static final long MAX_RETRY_PAUSE_WITH_PEERS_MS = 1500;

  /**
   * Minimum time between restarts, so that a store that is slow for all VMs is not called more
   * often.
   */
  private static final long MIN_RESTART_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Pause before a table is read again after a read from a replica that lags behind. */
  private static final long STALE_READ_PAUSE_MS = 300;

  private final NioReactor reactor;
  private final SharedStore store;
  private final SharedTable table;
  private final SharedTableReplica replica;
  private final Listener listener;
  private long knownRevision = -1;
  private long generation;
  private long startedNanos;
  private long calledNanos;
  private boolean lastCallFailed;
  private long checkedNanos = System.nanoTime() - MIN_CHECK_INTERVAL_NANOS;
  private long retryPauseMillis = INITIAL_RETRY_PAUSE_MS;

  /** Receives the results of a follower and gives it the state of the other VMs. */
  interface Listener {

    /** Called when the store has answered, after its rows were passed on. */
    void storeAnswered(SharedTable table);

    /** Called when the store did not answer or refused a call that was made at the given time. */
    void storeFailed(SharedTable table, String reason, long calledNanos);

    /** Called when the store answered in a later epoch, before any of its rows are passed on. */
    void epochObserved(StoreEpoch epoch);

    /** Called when the store has told its latest revision, which covers all tables. */
    void storeRevisionSeen(long revision);

    /** Returns whether this VM looks for changes whose answers to all VMs were lost. */
    boolean watchesStore();

    /** Merges a row, which may be older than the known one. */
    void merge(SharedRow row, StoreEpoch epoch);

    /** Returns the number of other VMs that follow the store. */
    int otherFollowers();

    /** Returns whether other VMs announce changes, so that the store need not be called. */
    boolean receivesUpdatesFromPeers();

    /** Returns whether any other alive VM reaches the store. */
    boolean peersReachStore();

    /** Replaces the known rows by the whole table as of a revision. */
    void replace(SharedTable table, SharedStore.Rows rows);
  }

  StoreFollower(
      NioReactor reactor,
      SharedStore store,
      SharedTable table,
      SharedTableReplica replica,
      Listener listener) {
    this.reactor = reactor;
    this.store = store;
    this.table = table;
    this.replica = replica;
    this.listener = listener;
  }

  /** Starts to follow the table; answers to earlier calls are ignored from now on. */
  void start() {
    startedNanos = System.nanoTime();
    callStore(++generation);
  }

  /**
   * Abandons the open call, which missed a change that another VM already has, and calls the store
   * again. Does nothing within the minimum interval.
   */
  void restart() {
    if (System.nanoTime() - startedNanos > MIN_RESTART_INTERVAL_NANOS) {
      start();
    }
  }

  /**
   * Abandons the open call and reads the table again, since its revisions are of an earlier epoch
   * of the store. Does nothing if the table has not been read yet.
   */
  void reread() {
    if (knownRevision >= 0 && !replica.isCurrent(table)) {
      knownRevision = -1;
      retryPauseMillis = INITIAL_RETRY_PAUSE_MS;
      start();
    }
  }

  /**
   * Asks for changes without waiting if the store has a later revision than this follower. If the
   * open call has missed some, their answer was lost, so the call is abandoned.
   */
  void check(long storeRevision) {
    long now = System.nanoTime();
    if (knownRevision < 0
        || storeRevision <= knownRevision
        || now - checkedNanos < MIN_CHECK_INTERVAL_NANOS) {
      return;
    }
    checkedNanos = now;
    long checkGeneration = generation;
    store
        .changes(table, knownRevision, Duration.ZERO)
        .thenAccept(answer -> checked(checkGeneration, now, answer));
  }

  private void checked(
      long checkGeneration, long checkNanos, StoreAnswer<SharedStore.Rows> answer) {
    if (checkGeneration != generation) {
      return;
    }
    if (answer instanceof StoreAnswer.Unknown<SharedStore.Rows> unknown) {
      listener.storeFailed(table, unknown.reason(), checkNanos);
      return;
    }
    if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done
        && done.value().rows().isEmpty()
        && done.value().epoch().equals(replica.epoch(table))) {
      knownRevision = Math.max(knownRevision, done.value().revision());
      replica.advance(table, knownRevision, done.value().epoch());
    } else {
      changesReceived(++generation, answer);
    }
  }

  private void callStore(long callGeneration) {
    if (callGeneration != generation) {
      return;
    }
    calledNanos = System.nanoTime();
    if (knownRevision < 0) {
      store.read(table).thenAccept(answer -> tableRead(callGeneration, answer));
    } else if (listener.receivesUpdatesFromPeers()) {
      callStoreLater(callGeneration, STANDBY_CHECK_INTERVAL_MS);
    } else {
      store
          .changes(table, knownRevision, changeWait())
          .thenAccept(answer -> changesReceived(callGeneration, answer));
    }
  }

  private Duration changeWait() {
    if (table != SharedTable.SERVERS || !listener.watchesStore()) {
      return MAX_CHANGE_WAIT;
    }
    return lastCallFailed ? Duration.ZERO : WATCHER_CHANGE_WAIT;
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
    if (replica.epoch().isAfter(rows.epoch())) {
      callFailed(callGeneration, lateAnswer(rows));
      return;
    }
    if (rows.epoch().equals(replica.epoch(table))
        && rows.revision() < replica.newestRevision(table)) {
      rows.rows().forEach(row -> listener.merge(row, rows.epoch()));
      callStoreLater(callGeneration, STALE_READ_PAUSE_MS);
      return;
    }
    listener.epochObserved(rows.epoch());
    listener.replace(table, rows);
    knownRevision = rows.revision();
    callSucceeded(callGeneration);
  }

  private void changesReceived(long callGeneration, StoreAnswer<SharedStore.Rows> answer) {
    if (callGeneration != generation) {
      mergeLateChanges(answer);
      return;
    }
    if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done) {
      SharedStore.Rows rows = done.value();
      listener.epochObserved(rows.epoch());
      if (callGeneration != generation) {
        return; // The answer is of a later epoch, and the table is being read again.
      }
      if (!rows.epoch().equals(replica.epoch(table))) {
        callFailed(callGeneration, lateAnswer(rows));
        return;
      }
      rows.rows().forEach(row -> listener.merge(row, rows.epoch()));
      knownRevision = Math.max(knownRevision, rows.revision());
      replica.advance(table, knownRevision, rows.epoch());
      callSucceeded(callGeneration);
      if (table == SharedTable.SERVERS && listener.watchesStore()) {
        listener.storeRevisionSeen(knownRevision);
      }
    } else if (answer instanceof StoreAnswer.Refused<SharedStore.Rows>) {
      // The store no longer has the changes since this revision: read the table again.
      knownRevision = -1;
      callStoreLater(callGeneration, INITIAL_RETRY_PAUSE_MS);
    } else {
      callFailed(callGeneration, answer);
    }
  }

  /**
   * Merges the changes in the answer to an abandoned call that no later answer has brought. If
   * answers take longer than the interval of restarts, each call is abandoned before its answer.
   */
  private void mergeLateChanges(StoreAnswer<SharedStore.Rows> answer) {
    if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done
        && knownRevision >= 0
        && replica.isCurrent(table)
        && done.value().epoch().equals(replica.epoch())) {
      List<SharedRow> newRows =
          done.value().rows().stream().filter(row -> row.revision() > knownRevision).toList();
      if (!newRows.isEmpty()) {
        newRows.forEach(row -> listener.merge(row, done.value().epoch()));
        listener.storeAnswered(table);
      }
    }
  }

  private static StoreAnswer<SharedStore.Rows> lateAnswer(SharedStore.Rows rows) {
    return new StoreAnswer.Unknown<>("late answer of the earlier epoch " + rows.epoch());
  }

  private void callSucceeded(long callGeneration) {
    lastCallFailed = false;
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
    listener.storeFailed(table, reason, calledNanos);
    lastCallFailed = true;
    if (System.nanoTime() - calledNanos > TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_PAUSE_MS)) {
      // Calls without an answer are rare enough without a longer pause.
      retryPauseMillis = INITIAL_RETRY_PAUSE_MS;
    }
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
