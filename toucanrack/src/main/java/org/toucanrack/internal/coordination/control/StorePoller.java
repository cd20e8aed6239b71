package org.toucanrack.internal.coordination.control;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.toucanrack.internal.coordination.lease.DomainRow;

/**
 * Schedules reads of the store: the relay reads periodically, other members only while they have no
 * row or cannot rely on the relay. At most one call of each kind is in flight. Confined to the
 * control thread.
 */
final class StorePoller {

  private final ControlState state;
  private final RowWriter writer;
  private final Random random;
  private final Set<String> inFlight = new HashSet<>();
  private long nextCurrentVersionReadNanos;
  private long nextOwnRowReadNanos;
  private long nextRecordsReadNanos;
  private long nextAllRowsReadNanos;
  private long nextVmListNanos;

  StorePoller(ControlState state, RowWriter writer, Random random, long nowNanos) {
    this.state = state;
    this.writer = writer;
    this.random = random;
    this.nextCurrentVersionReadNanos = nowNanos;
    this.nextOwnRowReadNanos = nowNanos;
    this.nextRecordsReadNanos = nowNanos;
    this.nextAllRowsReadNanos = nowNanos;
    this.nextVmListNanos = nowNanos;
  }

  void tick(long nowNanos, ActionBuffer actions) {
    boolean relay = state.isRelay();
    boolean bypassRelay = state.mustBypassRelay(nowNanos);
    if ((relay || bypassRelay) && nowNanos - nextCurrentVersionReadNanos >= 0) {
      nextCurrentVersionReadNanos =
          nowNanos + jittered(ControlTimings.CURRENT_VERSION_READ_PERIOD_NANOS);
      addIfNotInFlight(CurrentVersion.KEY, actions, currentVersionRead());
    }
    boolean ownRowStale = state.ownRow().isEmpty() || bypassRelay;
    if (ownRowStale && !writer.isWriter(nowNanos) && nowNanos - nextOwnRowReadNanos >= 0) {
      nextOwnRowReadNanos = nowNanos + jittered(ControlTimings.ROW_WRITE_PERIOD_NANOS);
      String key = DomainRow.key(state.domain());
      addIfNotInFlight(
          key, actions, new ControlAction.ReadRow(key, ControlAction.Purpose.ROW_REFRESH));
    }
    if (relay && nowNanos - nextRecordsReadNanos >= 0) {
      nextRecordsReadNanos = nowNanos + jittered(ControlTimings.RECORDS_READ_PERIOD_NANOS);
      OperatorRecords.PREFIXES.forEach(
          prefix -> addIfNotInFlight(prefix, actions, new ControlAction.ListRows(prefix)));
    }
    pollLists(relay, nowNanos, actions);
  }

  private void pollLists(boolean relay, long nowNanos, ActionBuffer actions) {
    if ((relay || state.rows.all().isEmpty()) && nowNanos - nextAllRowsReadNanos >= 0) {
      nextAllRowsReadNanos = nowNanos + jittered(ControlTimings.ALL_DOMAIN_ROWS_READ_PERIOD_NANOS);
      addIfNotInFlight(
          DomainRow.KEY_PREFIX, actions, new ControlAction.ListRows(DomainRow.KEY_PREFIX));
    }
    if (relay && nowNanos - nextVmListNanos >= 0) {
      nextVmListNanos = nowNanos + jittered(ControlTimings.VM_LIST_PERIOD_NANOS);
      addIfNotInFlight("vms", actions, new ControlAction.ListVms());
    }
  }

  private static ControlAction currentVersionRead() {
    return new ControlAction.ReadRow(CurrentVersion.KEY, ControlAction.Purpose.CURRENT_VERSION);
  }

  private void addIfNotInFlight(String call, ActionBuffer actions, ControlAction action) {
    if (inFlight.add(call)) {
      actions.add(action);
    }
  }

  void onAnswer(String call) {
    inFlight.remove(call);
  }

  /** Schedules an early retry after the list of all domain rows could not be read. */
  void scheduleAllRowsRetry(long nowNanos) {
    nextAllRowsReadNanos = nowNanos + ControlTimings.SUSPECT_RETRY_NANOS;
  }

  /** Returns the period shortened by up to 10%, to spread the reads of many VMs. */
  private long jittered(long periodNanos) {
    return periodNanos - random.nextLong(periodNanos / 10);
  }
}
