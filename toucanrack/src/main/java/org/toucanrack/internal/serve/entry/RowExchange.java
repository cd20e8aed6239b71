package org.toucanrack.internal.serve.entry;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucanrack.internal.protocol.generated.SharedRowCopy;
import org.toucanrack.internal.protocol.generated.SharedRows;
import org.toucanrack.internal.protocol.generated.SharedTableState;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.internal.transport.relay.RequestHandler;
import org.toucanrack.internal.transport.relay.ResponseListener;
import org.toucanrack.internal.transport.relay.Responses;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Serves rows of the store to other VMs and fetches rows from them, so that a VM that does not get
 * them from the store is up to date. Confined to the control thread.
 *
 * <p>If the store reports epochs, the path of a request also has the epoch of each table, and the
 * answer has whole tables where the requester's are of an earlier epoch. Releases that do not know
 * epochs ignore both.
 *
 * <p>Invariant: at most one fetch runs at a time.
 */
final class RowExchange implements RequestHandler {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /**
   * Timeout of a fetch. Only one fetch runs at a time, so a VM that stopped answering would block
   * fetches from all others; a draining server must get no more requests after two seconds.
   */
  private static final long FETCH_TIMEOUT_MS = 400;

  private static final HttpField PROTOBUF = new HttpField("Content-Type", "application/x-protobuf");
  private static final String PATH = "/rows/";

  /** The tables whose rows are exchanged, in the order of their revisions in the request path. */
  static final List<SharedTable> TABLES =
      List.of(SharedTable.ORDERS, SharedTable.SERVERS, SharedTable.REPORTS);

  /** The last part of a path: the epoch of each table, in the same order. */
  private static final Pattern EPOCHS = Pattern.compile("epochs=([0-9]{1,18}(?:,[0-9]{1,18})*)");

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final NioReactor reactor;
  private final SharedTableReplica replica;
  private final ConnectionPool pool;
  private final Supplier<List<SharedRowCopy>> carriedRows;
  private final Consumer<SharedRows> receiver;
  private boolean fetching;
  private long lastFetchNumber;

  /**
   * Creates an exchange.
   *
   * @param carriedRows returns the rows of an earlier epoch that are in force, for other VMs
   */
  RowExchange(
      NioReactor reactor,
      SharedTableReplica replica,
      ConnectionPool pool,
      Supplier<List<SharedRowCopy>> carriedRows,
      Consumer<SharedRows> receiver) {
    this.reactor = reactor;
    this.replica = replica;
    this.pool = pool;
    this.carriedRows = carriedRows;
    this.receiver = receiver;
  }

  /**
   * Fetches the rows from another VM that are newer than the known ones; does nothing while another
   * fetch runs. Returns whether a fetch was started.
   */
  boolean fetch(InetSocketAddress peer) {
    if (fetching) {
      return false;
    }
    fetching = true;
    StringBuilder path = new StringBuilder(PATH);
    for (SharedTable table : TABLES) {
      path.append(replica.latestRevision(table)).append('/');
    }
    if (replica.epoch().isAfter(StoreEpoch.NONE)) {
      path.append("epochs=")
          .append(String.join(",", TABLES.stream().map(t -> replica.epoch(t).toString()).toList()));
    }
    HttpMessage request =
        HttpMessage.of(
            "GET " + path + " HTTP/1.1", List.of(new HttpField("Host", "toucanrack-peer")));
    ConnectionPool.Call call =
        pool.send(peer, request.encoded(false), null, CONNECT_TIMEOUT, new Receiver());
    long fetchNumber = ++lastFetchNumber;
    reactor.delayBackground(
        FETCH_TIMEOUT_MS,
        () -> {
          if (fetching && lastFetchNumber == fetchNumber) {
            call.cancel();
            fetching = false;
          }
        });
    return true;
  }

  @Override
  public void handle(HttpMessage request, Exchange exchange) {
    String target = request.target();
    if (!target.startsWith(PATH)) {
      exchange.respond(Responses.text(NOT_FOUND, "unknown path"));
      return;
    }
    String[] knownRevisions = target.substring(PATH.length()).split("/");
    List<StoreEpoch> knownEpochs = epochs(target.substring(target.lastIndexOf('/') + 1));
    SharedRows.Builder rows = SharedRows.newBuilder();
    for (int i = 0; i < TABLES.size() && i < knownRevisions.length; i++) {
      if (knownRevisions[i].matches("[0-9]{1,18}")) {
        long knownRevision = Long.parseLong(knownRevisions[i]);
        if (i < knownEpochs.size()) {
          addRows(rows, TABLES.get(i), knownRevision, knownEpochs.get(i));
        } else {
          replica.rowsAfter(TABLES.get(i), knownRevision).forEach(row -> rows.addRows(copyOf(row)));
        }
      }
    }
    if (!knownEpochs.isEmpty()) {
      rows.addAllCarried(carriedRows.get());
    }
    exchange.respond(Responses.withBody(OK, PROTOBUF, rows.build().toByteArray()));
  }

  /** Returns the epochs in a part of a path; none if the requester sent none. */
  private static List<StoreEpoch> epochs(String part) {
    List<StoreEpoch> epochs = new ArrayList<>();
    Matcher matcher = EPOCHS.matcher(part);
    if (matcher.matches()) {
      for (String number : matcher.group(1).split(",")) {
        epochs.add(new StoreEpoch(Long.parseLong(number)));
      }
    }
    return epochs;
  }

  /** Adds the newer rows of a table, or all if the requester has the table of an earlier epoch. */
  private void addRows(
      SharedRows.Builder rows, SharedTable table, long knownRevision, StoreEpoch knownEpoch) {
    StoreEpoch epoch = replica.epoch(table);
    if (knownEpoch.isAfter(epoch)) {
      return;
    }
    final boolean isWhole = epoch.isAfter(knownEpoch);
    rows.addTables(
        SharedTableState.newBuilder()
            .setTable(table.name())
            .setEpoch(epoch.number())
            .setCompleteRevision(replica.completeRevision(table))
            .setWhole(isWhole));
    for (SharedRow row : replica.rowsAfter(table, isWhole ? -1 : knownRevision)) {
      rows.addRows(copyOf(row));
    }
  }

  static SharedRowCopy copyOf(SharedRow row) {
    SharedRowCopy.Builder copy =
        SharedRowCopy.newBuilder()
            .setTable(row.key().table().name())
            .setName(row.key().name())
            .setRevision(row.revision())
            .setRemoved(row.isRemoved());
    if (!row.isRemoved()) {
      copy.setValue(ByteString.copyFrom(row.value()));
    }
    return copy.build();
  }

  private final class Receiver implements ResponseListener {

    @Override
    public void onResponse(HttpMessage answer) {
      fetching = false;
      if (answer.status() != OK) {
        return;
      }
      try {
        receiver.accept(SharedRows.parseFrom(answer.body()));
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException("another VM sent rows that cannot be read", e);
      }
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
      fetching = false;
    }
  }
}
