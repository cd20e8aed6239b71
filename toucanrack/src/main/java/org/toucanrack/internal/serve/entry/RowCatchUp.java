package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.SharedRowCopy;
import org.toucanrack.internal.protocol.generated.SharedRows;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;

/**
 * Fetches rows of the store from VMs that know newer ones. The store tells most changes first; what
 * it has not told after a moment is fetched, from near VMs first, since bytes between failure
 * domains are dear. Confined to the control thread.
 */
final class RowCatchUp {

  /** Delay towards VMs of this region, in which the store tells most changes. */
  private static final long OWN_REGION_DELAY_MS = 300;

  /** Delay towards VMs of other regions, until a nearer one had the time to tell. */
  private static final long OTHER_REGION_DELAY_MS = 450;

  /** Delay of a VM that does not follow the store: several rows often change together. */
  private static final long STANDBY_DELAY_MS = 60;

  private final NioReactor reactor;
  private final EntrySettings settings;
  private final SharedTableReplica board;
  private final PeerView peers;
  private final RowExchange exchange;
  private final Consumer<SharedTable> outdatedTables;
  private final Receiver receiver;
  private final DecisionLog log;

  /** Takes over rows that were fetched. */
  interface Receiver {

    /** A row may have changed. */
    void merge(SharedRow row);

    /** All fetched rows were told. */
    void allMerged();
  }

  /**
   * Creates a catch-up.
   *
   * @param outdated learns of tables that the store has not told completely
   */
  RowCatchUp(
      NioReactor reactor,
      EntrySettings settings,
      SharedTableReplica board,
      PeerView peers,
      ConnectionPool pool,
      Consumer<SharedTable> outdatedTables,
      Receiver receiver,
      DecisionLog log) {
    this.reactor = reactor;
    this.settings = settings;
    this.board = board;
    this.peers = peers;
    this.exchange = new RowExchange(reactor, board, pool, this::rowsFetched);
    this.outdatedTables = outdatedTables;
    this.receiver = receiver;
    this.log = log;
  }

  RowExchange exchange() {
    return exchange;
  }

  /** Learns the revisions that another VM knows. */
  void heartbeatReceived(EntryHeartbeat heartbeat, InetSocketAddress address) {
    if (isBehind(heartbeat)) {
      reactor.delayBackground(delayMillis(heartbeat), () -> fetchIfBehind(heartbeat, address));
    }
  }

  private void fetchIfBehind(EntryHeartbeat heartbeat, InetSocketAddress address) {
    if (!isBehind(heartbeat)) {
      return;
    }
    log.event("rows-fetched", "from", heartbeat.getVm());
    exchange.fetch(address);
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
    return peers.receivesUpdatesFromPeers(System.nanoTime())
        ? STANDBY_DELAY_MS
        : OWN_REGION_DELAY_MS;
  }

  private boolean isBehind(EntryHeartbeat heartbeat) {
    return RowExchange.TABLES.stream().anyMatch(table -> isBehind(heartbeat, table));
  }

  private boolean isBehind(EntryHeartbeat heartbeat, SharedTable table) {
    return heartbeatRevision(heartbeat, table) > board.newestRevision(table);
  }

  private static long heartbeatRevision(EntryHeartbeat heartbeat, SharedTable table) {
    return switch (table) {
      case ORDERS -> heartbeat.getOrdersRevision();
      case SERVERS -> heartbeat.getServersRevision();
      case REPORTS -> heartbeat.getReportsRevision();
      case MEMBERS -> 0;
    };
  }

  private void rowsFetched(SharedRows rows) {
    for (SharedRowCopy copy : rows.getRowsList()) {
      receiver.merge(
          new SharedRow(
              new SharedRow.RowKey(SharedTable.valueOf(copy.getTable()), copy.getName()),
              copy.getRevision(),
              copy.getRemoved() ? null : copy.getValue().toByteArray()));
    }
    receiver.allMerged();
  }
}
