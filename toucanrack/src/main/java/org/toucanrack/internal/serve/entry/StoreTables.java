package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Follows the tables of the store, and records whether the store answers and which epoch it is in.
 * Confined to the control thread.
 */
final class StoreTables implements StoreFollower.Listener {

  private final NioReactor reactor;
  private final SharedStore store;
  private final SharedTableReplica replica;
  private final PeerView peerView;
  private final RowMerger rowMerger;
  private final RetainedServers retainedServers;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Listener listener;
  private final Map<SharedTable, StoreFollower> followers = new EnumMap<>(SharedTable.class);
  private boolean reached;
  private boolean watched;

  /** Learns of changes. */
  interface Listener {

    /** Called after each answer of the store, when its rows have been merged. */
    void rowsMerged();

    /** Called when the store begins or ceases to answer. */
    void reachabilityChanged();

    /** Called when the store has entered a later epoch. */
    void epochAdopted();
  }

  StoreTables(
      NioReactor reactor,
      SharedStore store,
      SharedTableReplica replica,
      PeerView peerView,
      RowMerger rowMerger,
      RetainedServers retainedServers,
      DecisionLog log,
      EntryMetrics metrics,
      Listener listener) {
    this.reactor = reactor;
    this.store = store;
    this.replica = replica;
    this.peerView = peerView;
    this.rowMerger = rowMerger;
    this.retainedServers = retainedServers;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
  }

  void follow(SharedTable table) {
    if (!followers.containsKey(table)) {
      StoreFollower follower = new StoreFollower(reactor, store, table, replica, this);
      followers.put(table, follower);
      follower.start();
    }
  }

  /** Restarts the follower of a table whose open call has missed a change. */
  void restart(SharedTable table) {
    Optional.ofNullable(followers.get(table)).ifPresent(StoreFollower::restart);
  }

  /** Returns whether the store answered the last call. */
  boolean isReached() {
    return reached;
  }

  /** Restarts the follower of the servers if this VM looks for missed changes from now on. */
  void updateWatch(long nowNanos) {
    boolean watches = peerView.watchesStore(nowNanos);
    if (watches && !watched) {
      // The open call waits for too long, and its answer may be lost already.
      restart(SharedTable.SERVERS);
    }
    watched = watches;
  }

  /** Reads the tables again if the store has entered a later epoch. */
  void adoptEpoch(StoreEpoch epoch, String source) {
    StoreEpoch before = replica.epoch();
    if (!replica.observeEpoch(epoch)) {
      return;
    }
    log.event("store-epoch", "epoch", epoch, "before", before, "source", source);
    metrics.setStoreEpoch(epoch);
    followers.values().forEach(StoreFollower::reread);
    listener.epochAdopted();
  }

  @Override
  public void storeAnswered(SharedTable table) {
    metrics.countStoreCall(table, "done");
    retainedServers.storeAnswered();
    epochObserved(store.epoch());
    if (!reached) {
      reached = true;
      listener.reachabilityChanged();
      log.event("store-reached", "table", table);
    }
    listener.rowsMerged();
  }

  @Override
  public void storeFailed(SharedTable table, String reason, long calledNanos) {
    metrics.countStoreCall(table, "missed");
    retainedServers.storeFailed(calledNanos);
    epochObserved(store.epoch());
    if (reached) {
      reached = false;
      listener.reachabilityChanged();
      log.event("store-lost", "table", table, "reason", reason);
    }
  }

  @Override
  public int otherFollowers() {
    return peerView.otherServingVms();
  }

  @Override
  public void storeRevisionSeen(long revision) {
    followers.values().forEach(follower -> follower.check(revision));
  }

  @Override
  public boolean watchesStore() {
    return peerView.watchesStore(System.nanoTime());
  }

  @Override
  public boolean receivesUpdatesFromPeers() {
    return peerView.receivesUpdatesFromPeers(System.nanoTime());
  }

  @Override
  public boolean peersReachStore() {
    return peerView.peersReachStore(System.nanoTime());
  }

  @Override
  public void epochObserved(StoreEpoch epoch) {
    adoptEpoch(epoch, "store");
  }

  @Override
  public void merge(SharedRow row, StoreEpoch epoch) {
    rowMerger.merge(row, epoch);
  }

  @Override
  public void replace(SharedTable table, SharedStore.Rows rows) {
    rowMerger.replace(table, rows);
  }
}
