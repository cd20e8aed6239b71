package org.toucanrack.internal.coordination.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.OperationId;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.internal.coordination.lease.DomainRowUpdater;
import org.toucanrack.internal.coordination.lease.ResourceCatalog;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowInputs;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.state.Member;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.Transaction;
import org.toucanrack.platform.Transaction.Condition;
import org.toucanrack.platform.Transaction.Write;

/**
 * Reads and writes the domain row while this VM is the relay. Confined to the control thread.
 *
 * <p>Invariants: a write is conditional on the version that the row was computed from; only rows
 * that were read or whose write was confirmed are forwarded to peers; after a lost answer the row
 * is read before it is written again.
 */
final class RowWriter {

  private static final Logger LOGGER = System.getLogger(RowWriter.class.getName());

  private final ControlState state;
  private final Map<Incarnation, ObservedMember> recentMembers = new HashMap<>();
  private final Map<ResourceId, Long> released = new HashMap<>();
  private Phase phase = Phase.IDLE;
  private Optional<Base> base = Optional.empty();
  private DomainRow pendingRow;
  private Transaction pendingTransaction;
  private long sequence;
  private long lastAttemptNanos;
  private long nextWriteNanos;
  private long lastRelayRequestNanos;
  private boolean relayRequested;
  private boolean activeWriter;
  private long writerSinceNanos;
  private boolean urgent;

  RowWriter(ControlState state, long nowNanos) {
    this.state = state;
    this.nextWriteNanos = nowNanos;
    this.lastAttemptNanos = nowNanos - ControlTimings.NANOS_PER_SECOND;
  }

  /**
   * Records a heartbeat of a member of the own failure domain, possibly this VM.
   *
   * @param configurationVersion the version that the member uses
   */
  void observeMember(Member member, long counter, long configurationVersion, long nowNanos) {
    ObservedMember before = recentMembers.get(member.incarnation());
    long highest = before == null ? counter : Math.max(counter, before.member().renewalCounter());
    recentMembers.put(
        member.incarnation(),
        new ObservedMember(new RowMember(member, highest, configurationVersion), nowNanos));
    boolean changed =
        state
            .ownRow()
            .flatMap(known -> known.row().member(member.incarnation()))
            .map(known -> known.member().draining() != member.draining())
            .orElse(true);
    urgent |= changed;
  }

  /** Records that a member uses this VM as its relay. */
  void observeRelayRequest(long nowNanos) {
    relayRequested = true;
    lastRelayRequestNanos = nowNanos;
  }

  /** Records that an owner has stopped using a resource that it was asked to release. */
  void observeRelease(ResourceId resource, long epoch) {
    if (isReleasing(resource, epoch)) {
      released.put(resource, epoch);
      urgent = true;
    }
  }

  private boolean isReleasing(ResourceId resource, long epoch) {
    return state
        .ownRow()
        .map(known -> known.row().assignments().get(resource))
        .filter(assignment -> assignment.releasing() && assignment.epoch() == epoch)
        .isPresent();
  }

  /** Discards the base of the next write, since a peer has a newer row. */
  void invalidateBase() {
    base = Optional.empty();
  }

  /** Discards heartbeats and the base row from before a pause of this process. */
  void restart(long nowNanos) {
    recentMembers.clear();
    base = Optional.empty();
    activeWriter = false;
    relayRequested = false;
    nextWriteNanos = nowNanos;
  }

  boolean isWriter(long nowNanos) {
    return state.isRelay()
        || (relayRequested
            && nowNanos - lastRelayRequestNanos <= ControlTimings.HEARTBEAT_EXPIRY_NANOS);
  }

  void tick(long nowNanos, ActionBuffer actions) {
    boolean writer = isWriter(nowNanos);
    if (writer && !activeWriter) {
      writerSinceNanos = nowNanos;
      base = Optional.empty();
    }
    activeWriter = writer;
    if (writer && phase == Phase.IDLE && isDue(nowNanos)) {
      attempt(nowNanos, actions);
    }
  }

  private boolean isDue(long nowNanos) {
    long urgentAt = lastAttemptNanos + ControlTimings.MIN_ROW_WRITE_INTERVAL_NANOS;
    return nowNanos - nextWriteNanos >= 0 || (urgent && nowNanos - urgentAt >= 0);
  }

  private void attempt(long nowNanos, ActionBuffer actions) {
    lastAttemptNanos = nowNanos;
    nextWriteNanos = nowNanos + ControlTimings.ROW_WRITE_PERIOD_NANOS;
    long newest = state.ownRow().map(DomainRows.VersionedRow::version).orElse(0L);
    if (base.filter(known -> known.version() >= newest).isEmpty()) {
      phase = Phase.READING;
      actions.add(
          new ControlAction.ReadRow(
              DomainRow.key(state.domain()), ControlAction.Purpose.ROW_UPDATE));
    } else {
      commit(nowNanos, actions);
    }
  }

  /** Handles the row that was read as the base of a write. */
  void onRowRead(
      StoreAnswer<Optional<Row>> answer, long startedAtNanos, long nowNanos, ActionBuffer actions) {
    phase = Phase.IDLE;
    if (answer instanceof StoreAnswer.Done<Optional<Row>> done) {
      Optional<Row> row = done.value();
      DomainRow decoded =
          row.map(found -> DomainRowCodec.decode(found.value()))
              .orElseGet(() -> DomainRow.empty(state.domain()));
      base = Optional.of(new Base(decoded, row.map(Row::version).orElse(0L)));
      state.failureDetector.observeRow(decoded, nowNanos);
      if (activeWriter) {
        commit(nowNanos, actions);
      }
    }
  }

  private void commit(long nowNanos, ActionBuffer actions) {
    OperationId operation = new OperationId("row-%x-%d".formatted(state.id().number(), sequence++));
    pendingRow = DomainRowUpdater.update(base.orElseThrow().row(), inputs(operation, nowNanos));
    String key = DomainRow.key(state.domain());
    pendingTransaction =
        new Transaction(
            operation,
            List.of(new Condition(key, base.orElseThrow().version())),
            List.of(new Write(key, Optional.of(DomainRowCodec.encode(pendingRow)))));
    phase = Phase.COMMITTING;
    urgent = false;
    actions.add(new ControlAction.Commit(pendingTransaction));
  }

  private RowInputs inputs(OperationId operation, long nowNanos) {
    recentMembers
        .values()
        .removeIf(each -> nowNanos - each.observedNanos() > ControlTimings.HEARTBEAT_EXPIRY_NANOS);
    Map<Incarnation, RowMember> members = new HashMap<>();
    recentMembers.forEach((id, each) -> members.put(id, each.member()));
    Set<Incarnation> lost = state.failureDetector.lostMembers(nowNanos);
    members.keySet().removeAll(lost);
    return new RowInputs(
        members,
        lost,
        released,
        state
            .configuration
            .adopted()
            .map(known -> ResourceCatalog.of(known.configuration(), state.domain())),
        state.records.drainingVms(),
        nowNanos - writerSinceNanos >= ControlTimings.ASSIGNMENT_DELAY_NANOS,
        operation.value());
  }

  /** Handles the answer to a commit; returns whether the written row is confirmed. */
  boolean onCommitted(ControlEvent.Committed event, long nowNanos) {
    if (!event.transaction().equals(pendingTransaction)) {
      return false;
    }
    phase = Phase.IDLE;
    if (event.answer().isDone()) {
      confirm(nowNanos);
      return true;
    }
    base = Optional.empty();
    nextWriteNanos = nowNanos;
    LOGGER.log(Level.DEBUG, "[lease] The domain row was not written: {0}", event.answer());
    return false;
  }

  private void confirm(long nowNanos) {
    long version = pendingTransaction.conditions().get(0).version() + 1;
    base = Optional.of(new Base(pendingRow, version));
    state.failureDetector.observeRow(pendingRow, nowNanos);
    String text = pendingTransaction.writes().get(0).value().orElseThrow();
    state.rows.update(pendingRow, text, version, nowNanos);
    released.entrySet().removeIf(entry -> !isReleasing(entry.getKey(), entry.getValue()));
  }

  private enum Phase {
    IDLE,
    READING,
    COMMITTING
  }

  private record Base(DomainRow row, long version) {}

  private record ObservedMember(RowMember member, long observedNanos) {}
}
