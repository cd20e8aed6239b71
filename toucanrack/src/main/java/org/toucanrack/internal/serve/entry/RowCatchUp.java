package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.SharedRowCopy;
import org.toucanrack.internal.protocol.generated.SharedRows;
import org.toucanrack.internal.protocol.generated.SharedTableState;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Fetches rows of the store from VMs that have newer ones. Most changes arrive from the store
 * first; those that have not arrived after a delay are fetched, from nearer VMs first, since
 * traffic between failure domains is costly.
 *
 * <p>In each epoch of the store but the first, this VM also asks some others once which rows of an
 * earlier epoch they carry: it may have started, or have been cut off, since those were written.
 *
 * <p>Invariant: revisions are compared within one epoch of the store only. Confined to the control
 * thread.
 */
final class RowCatchUp {

  /**
   * Delay before fetching from VMs of this region; within it, most changes arrive from the store.
   */
  private static final long OWN_REGION_DELAY_MS = 300;

  /**
   * Delay before fetching from VMs of other regions, so that a nearer VM can deliver the change
   * first.
   */
  private static final long OTHER_REGION_DELAY_MS = 450;

  /** Delay on a VM that does not follow the store; several rows often change together. */
  private static final long STANDBY_DELAY_MS = 60;

  /**
   * Number of VMs that are asked for carried rows. More than one, since the first may itself have
   * started after the restore.
   */
  private static final int MAX_CONSULTED_VMS = 3;

  /** Interval of attempts to ask a VM, which last until about its next heartbeat. */
  private static final long CONSULTATION_RETRY_MS = 100;

  private static final int MAX_CONSULTATION_RETRIES = 9;

  private final NioReactor reactor;
  private final EntrySettings settings;
  private final SharedTableReplica replica;
  private final PeerView peerView;
  private final RowExchange exchange;
  private final Consumer<SharedTable> outdatedTables;
  private final Receiver receiver;
  private final DecisionLog log;
  private final Set<String> consultedVms = new HashSet<>();
  private StoreEpoch consultedEpoch = StoreEpoch.NONE;
  private String fetchedFrom = "";

  /** Receives fetched rows, and gives the carried rows to other VMs. */
  interface Receiver {

    /** Called with the epoch of fetched rows, before they are passed on. */
    void epochObserved(StoreEpoch epoch, String vm);

    /** Merges a row, which may be older than the known one. */
    void merge(SharedRow row, StoreEpoch epoch);

    /** Replaces the known rows by a whole table of a later epoch. */
    void replace(SharedTable table, SharedStore.Rows rows);

    /** Adopts a row of an earlier epoch that the other VM carries. */
    void adoptCarried(CarriedRows.Copy copy);

    /** Returns the rows of an earlier epoch that this VM carries. */
    List<CarriedRows.Copy> carriedRows();

    /** Called after all rows of a fetch have been merged. */
    void allMerged();
  }

  /**
   * Creates a catch-up for the rows of all exchanged tables.
   *
   * @param outdatedTables gets each table of which the store has not delivered all changes
   */
  RowCatchUp(
      NioReactor reactor,
      EntrySettings settings,
      SharedTableReplica replica,
      PeerView peerView,
      ConnectionPool pool,
      Consumer<SharedTable> outdatedTables,
      Receiver receiver,
      DecisionLog log) {
    this.reactor = reactor;
    this.settings = settings;
    this.replica = replica;
    this.peerView = peerView;
    this.exchange = new RowExchange(reactor, replica, pool, this::carriedRows, this::rowsFetched);
    this.outdatedTables = outdatedTables;
    this.receiver = receiver;
    this.log = log;
  }

  RowExchange exchange() {
    return exchange;
  }

  /**
   * Compares the revisions in a heartbeat with the known ones and schedules a fetch if some are
   * newer.
   */
  void heartbeatReceived(EntryHeartbeat heartbeat, InetSocketAddress address) {
    if (isBehind(heartbeat)) {
      reactor.delayBackground(delayMillis(heartbeat), () -> fetchIfBehind(heartbeat, address));
    }
    consult(heartbeat, address, MAX_CONSULTATION_RETRIES);
  }

  /**
   * Asks a VM for the rows that it carries. Tries again soon if the own tables have not been read
   * yet or another fetch runs; a removed server could get requests until the next heartbeat.
   */
  private void consult(EntryHeartbeat heartbeat, InetSocketAddress address, int retries) {
    if (!isToBeConsulted(heartbeat)) {
      return;
    }
    if (hasCurrentTables() && exchange.fetch(address)) {
      fetchedFrom = heartbeat.getVm();
    } else if (retries > 0) {
      reactor.delayBackground(
          CONSULTATION_RETRY_MS, () -> consult(heartbeat, address, retries - 1));
    }
  }

  private boolean hasCurrentTables() {
    return replica.isCurrent(SharedTable.ORDERS) && replica.isCurrent(SharedTable.SERVERS);
  }

  /** Returns whether to ask a VM for the rows that it carries. */
  private boolean isToBeConsulted(EntryHeartbeat heartbeat) {
    if (!replica.epoch().equals(consultedEpoch)) {
      consultedEpoch = replica.epoch();
      consultedVms.clear();
    }
    boolean hasReadServers = heartbeat.getServersRevision() > 0;
    return replica.epoch().isAfter(StoreEpoch.NONE)
        && epochOf(heartbeat).equals(replica.epoch())
        && hasReadServers
        && consultedVms.size() < MAX_CONSULTED_VMS
        && !consultedVms.contains(heartbeat.getVm());
  }

  /** Returns the epoch in a heartbeat; none in those of releases that do not know epochs. */
  static StoreEpoch epochOf(EntryHeartbeat heartbeat) {
    return new StoreEpoch(Math.max(0, heartbeat.getStoreEpoch()));
  }

  private void fetchIfBehind(EntryHeartbeat heartbeat, InetSocketAddress address) {
    if (!isBehind(heartbeat)) {
      return;
    }
    log.event("rows-fetched", "from", heartbeat.getVm());
    if (exchange.fetch(address)) {
      fetchedFrom = heartbeat.getVm();
    }
    for (SharedTable table : RowExchange.TABLES) {
      if (isBehind(heartbeat, table)) {
        outdatedTables.accept(table);
      }
    }
  }

  private long delayMillis(EntryHeartbeat heartbeat) {
    FailureDomainId domain = new FailureDomainId(heartbeat.getFailureDomain());
    if (!domain.equals(settings.failureDomain())) {
      return settings.region().equals(settings.regions().get(domain))
          ? OWN_REGION_DELAY_MS
          : OTHER_REGION_DELAY_MS;
    }
    return peerView.receivesUpdatesFromPeers(System.nanoTime())
        ? STANDBY_DELAY_MS
        : OWN_REGION_DELAY_MS;
  }

  /**
   * Returns whether this VM has no rows and the other VM has some, which may still be of an earlier
   * epoch than the one that both have heard of.
   */
  private boolean isEmptyUnlike(EntryHeartbeat heartbeat) {
    return heartbeat.getReady()
        && epochOf(heartbeat).isAfter(StoreEpoch.NONE)
        && replica.latestRevision(SharedTable.ORDERS) == 0
        && replica.latestRevision(SharedTable.SERVERS) == 0;
  }

  private boolean isBehind(EntryHeartbeat heartbeat) {
    return isEmptyUnlike(heartbeat)
        || RowExchange.TABLES.stream().anyMatch(table -> isBehind(heartbeat, table));
  }

  private boolean isBehind(EntryHeartbeat heartbeat, SharedTable table) {
    long known = replica.isCurrent(table) ? replica.latestRevision(table) : 0;
    return epochOf(heartbeat).equals(replica.epoch())
        && heartbeatRevision(heartbeat, table) > known;
  }

  private static long heartbeatRevision(EntryHeartbeat heartbeat, SharedTable table) {
    return switch (table) {
      case ORDERS -> heartbeat.getOrdersRevision();
      case SERVERS -> heartbeat.getServersRevision();
      case REPORTS -> heartbeat.getReportsRevision();
      case MEMBERS, DUTIES -> 0;
    };
  }

  private void rowsFetched(SharedRows fetched) {
    Map<SharedTable, SharedTableState> states = new HashMap<>();
    for (SharedTableState state : fetched.getTablesList()) {
      states.put(SharedTable.valueOf(state.getTable()), state);
      receiver.epochObserved(new StoreEpoch(Math.max(0, state.getEpoch())), fetchedFrom);
    }
    Map<SharedTable, List<SharedRow>> wholeTables = new HashMap<>();
    for (SharedTableState state : states.values()) {
      if (state.getWhole()) {
        wholeTables.put(SharedTable.valueOf(state.getTable()), new ArrayList<>());
      }
    }
    for (SharedRowCopy copy : fetched.getRowsList()) {
      SharedRow row = rowOf(copy, copy.getRemoved());
      SharedTable table = row.key().table();
      if (wholeTables.containsKey(table)) {
        wholeTables.get(table).add(row);
      } else {
        receiver.merge(row, tableEpoch(states.get(table)));
      }
    }
    wholeTables.forEach(
        (table, rows) ->
            receiver.replace(
                table,
                new SharedStore.Rows(
                    rows, states.get(table).getCompleteRevision(), tableEpoch(states.get(table)))));
    if (!states.isEmpty()) {
      if (hasCurrentTables()) {
        consultedVms.add(fetchedFrom);
      }
      fetched.getCarriedList().forEach(copy -> receiver.adoptCarried(carriedCopy(copy)));
    }
    receiver.allMerged();
  }

  /** Returns the epoch of a table; none if the other VM's release does not know epochs. */
  private static StoreEpoch tableEpoch(SharedTableState state) {
    return state == null ? StoreEpoch.NONE : new StoreEpoch(Math.max(0, state.getEpoch()));
  }

  private static SharedRow rowOf(SharedRowCopy copy, boolean withoutValue) {
    return new SharedRow(
        new SharedRow.RowKey(SharedTable.valueOf(copy.getTable()), copy.getName()),
        copy.getRevision(),
        withoutValue ? null : copy.getValue().toByteArray());
  }

  private static CarriedRows.Copy carriedCopy(SharedRowCopy copy) {
    return new CarriedRows.Copy(
        rowOf(copy, copy.getRemoved() && copy.getValue().isEmpty()),
        copy.getRemoved(),
        copy.getRemainingMillis() > 0
            ? Optional.of(Duration.ofMillis(copy.getRemainingMillis()))
            : Optional.empty());
  }

  private List<SharedRowCopy> carriedRows() {
    return receiver.carriedRows().stream()
        .map(
            copy ->
                RowExchange.copyOf(copy.row()).toBuilder()
                    .setRemoved(copy.removed())
                    .setRemainingMillis(
                        copy.remaining().map(time -> (int) time.toMillis()).orElse(0))
                    .build())
        .toList();
  }
}
