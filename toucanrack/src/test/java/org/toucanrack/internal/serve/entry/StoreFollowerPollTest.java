package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/** Tests how often and how long a follower waits for changes. */
class StoreFollowerPollTest {

  private static final Duration LONG_WAIT = Duration.ofSeconds(29);

  /** More than the pauses between two calls for servers, and after a failed call. */
  private static final long PAUSE_MS = 350;

  private static final long SHORT_MS = 20;

  private final Eventloop loop = Eventloop.create();
  private final FakeStore store = new FakeStore();
  private final FakeListener listener = new FakeListener();

  // Guards against a VM that learns of a lost answer only after half a minute although no other VM
  // can tell it, and against the cost of short calls on all VMs and for all tables.
  @Test
  void onlyTheWatcherWaitsBrieflyAndOnlyForServers() {
    follow(SharedTable.SERVERS);
    follow(SharedTable.ORDERS);
    assertEquals(LONG_WAIT, store.calls.get(0).wait);
    assertEquals(LONG_WAIT, store.calls.get(1).wait);

    listener.watches = true;
    follow(SharedTable.SERVERS);
    follow(SharedTable.ORDERS);

    assertTrue(store.calls.get(2).wait.compareTo(Duration.ofSeconds(2)) <= 0);
    assertEquals(LONG_WAIT, store.calls.get(3).wait);
  }

  // Guards against a wait of another call after a lost answer before the revision of the store is
  // known again.
  @Test
  void watcherDoesNotWaitAfterFailedCalls() {
    listener.watches = true;
    follow(SharedTable.SERVERS);

    inLoop(PAUSE_MS, () -> store.calls.get(0).fail());
    inLoop(PAUSE_MS, () -> store.calls.get(1).answer(1));

    assertEquals(Duration.ZERO, store.calls.get(1).wait);
    assertTrue(store.calls.get(2).wait.compareTo(Duration.ZERO) > 0);
  }

  // Guards against changes of a table that are missed because the answer of its open call was lost.
  @Test
  void checkReplacesTheOpenCallThatMissedChanges() {
    StoreFollower follower = follow(SharedTable.ORDERS);

    inLoop(SHORT_MS, () -> follower.check(5));
    inLoop(SHORT_MS, () -> store.calls.get(1).answer(5, row(4)));

    assertEquals(Duration.ZERO, store.calls.get(1).wait);
    assertEquals(List.of(4L), listener.merged);
    assertEquals(3, store.calls.size());
    assertEquals(5, store.calls.get(2).after);

    inLoop(SHORT_MS, () -> store.calls.get(0).answer(5, row(4)));
    assertEquals(List.of(4L), listener.merged);
    assertEquals(3, store.calls.size());
  }

  // Guards against checks that cost a call again and again while only other tables change.
  @Test
  void checkWithoutChangesLeavesTheOpenCall() {
    StoreFollower follower = follow(SharedTable.ORDERS);

    inLoop(SHORT_MS, () -> follower.check(1));
    assertEquals(1, store.calls.size());
    inLoop(SHORT_MS, () -> follower.check(5));
    inLoop(SHORT_MS, () -> follower.check(6));
    assertEquals(2, store.calls.size());
    inLoop(SHORT_MS, () -> store.calls.get(1).answer(6));
    inLoop(SHORT_MS, () -> follower.check(6));
    assertEquals(2, store.calls.size());

    inLoop(SHORT_MS, () -> store.calls.get(0).answer(7, row(7)));
    assertEquals(List.of(7L), listener.merged);
  }

  // Guards against a VM that does not tell the other followers of the store's revision.
  @Test
  void watcherTellsTheRevisionOfTheStore() {
    follow(SharedTable.SERVERS);
    inLoop(SHORT_MS, () -> store.calls.get(0).answer(3));
    assertEquals(List.of(), listener.revisions);

    listener.watches = true;
    follow(SharedTable.SERVERS);
    inLoop(SHORT_MS, () -> store.calls.get(1).answer(4));

    assertEquals(List.of(4L), listener.revisions);
  }

  // Guards against a VM that spends its processor time on a store that refuses at once, and against
  // one that has stopped calling when the store is back. Pauses of at least 40, 80, 160, 320 and
  // then 500 ms allow ten calls in 3 s.
  @Test
  void callsOfStoresThatRefuseAreRareAndGoOn() {
    store.refuses = true;
    follow(SharedTable.ORDERS);

    inLoop(3000, () -> {});
    int refused = store.refusedCalls;
    store.refuses = false;
    inLoop(2000, () -> {});

    assertTrue(refused <= 11, refused + " calls");
    assertEquals(1, store.calls.size());
  }

  // Guards against a VM that stays with old rows while others are ahead and the store needs longer
  // for an answer than the interval at which calls are restarted.
  @Test
  void changesInAnswersSlowerThanTheRestartIntervalAreUsed() {
    StoreFollower follower = follow(SharedTable.ORDERS);

    inLoop(1100, () -> {});
    inLoop(SHORT_MS, follower::restart);
    inLoop(SHORT_MS, () -> store.calls.get(0).answer(5, row(5)));

    assertEquals(2, store.calls.size());
    assertEquals(List.of(5L), listener.merged);
  }

  /** Follows a table up to its first call for changes. */
  private StoreFollower follow(SharedTable table) {
    StoreFollower follower =
        new StoreFollower(loop, store, table, new SharedTableReplica(), listener);
    inLoop(table == SharedTable.SERVERS ? PAUSE_MS : SHORT_MS, follower::start);
    return follower;
  }

  /** Runs an action, and what it schedules for soon after, on the event loop. */
  private void inLoop(long millis, Runnable action) {
    loop.execute(action::run);
    loop.delay(millis, () -> {});
    loop.run();
  }

  private static SharedRow row(long revision) {
    return new SharedRow(
        new SharedRow.RowKey(SharedTable.ORDERS, "r" + revision), revision, new byte[0]);
  }

  private static final class Call {
    private final long after;
    private final Duration wait;
    private final CompletableFuture<StoreAnswer<SharedStore.Rows>> answer =
        new CompletableFuture<>();

    Call(long after, Duration wait) {
      this.after = after;
      this.wait = wait;
    }

    void answer(long revision, SharedRow... rows) {
      answer.complete(
          new StoreAnswer.Done<>(new SharedStore.Rows(List.of(rows), revision, StoreEpoch.NONE)));
    }

    void fail() {
      answer.complete(new StoreAnswer.Unknown<>("no answer"));
    }
  }

  /** Reads are answered at once, with revision 1 and no rows; calls for changes by the test. */
  private static final class FakeStore implements SharedStore {

    private final List<Call> calls = new ArrayList<>();
    private boolean refuses;
    private int refusedCalls;

    @Override
    public CompletionStage<StoreAnswer<Rows>> read(SharedTable table) {
      return CompletableFuture.completedFuture(
          new StoreAnswer.Done<>(new Rows(List.of(), 1, StoreEpoch.NONE)));
    }

    @Override
    public CompletionStage<StoreAnswer<Rows>> changes(
        SharedTable table, long after, Duration wait) {
      if (refuses) {
        refusedCalls++;
        return CompletableFuture.completedFuture(new StoreAnswer.Unknown<>("refused"));
      }
      Call call = new Call(after, wait);
      calls.add(call);
      return call.answer;
    }

    @Override
    public CompletionStage<StoreAnswer<Void>> write(
        SharedRow.RowKey key, byte[] value, long expectedRevision, StoreEpoch epoch) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<Duration> time() {
      return Optional.empty();
    }

    @Override
    public CompletionStage<StoreAnswer<Void>> remove(
        SharedRow.RowKey key, long expectedRevision, StoreEpoch epoch) {
      throw new UnsupportedOperationException();
    }

    @Override
    public StoreEpoch epoch() {
      return StoreEpoch.NONE;
    }
  }

  private static final class FakeListener implements StoreFollower.Listener {

    private final List<Long> merged = new ArrayList<>();
    private final List<Long> revisions = new ArrayList<>();
    private boolean watches;

    @Override
    public void storeAnswered(SharedTable table) {}

    @Override
    public void storeFailed(SharedTable table, String reason, long calledNanos) {}

    @Override
    public void storeRevisionSeen(long revision) {
      revisions.add(revision);
    }

    @Override
    public boolean watchesStore() {
      return watches;
    }

    @Override
    public void epochObserved(StoreEpoch epoch) {}

    @Override
    public void merge(SharedRow row, StoreEpoch epoch) {
      merged.add(row.revision());
    }

    @Override
    public int otherFollowers() {
      return 0;
    }

    @Override
    public boolean receivesUpdatesFromPeers() {
      return false;
    }

    @Override
    public boolean peersReachStore() {
      return false;
    }

    @Override
    public void replace(SharedTable table, SharedStore.Rows rows) {}
  }
}
