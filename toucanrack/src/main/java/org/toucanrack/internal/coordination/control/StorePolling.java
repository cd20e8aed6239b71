package org.toucanrack.internal.coordination.control;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.toucanrack.internal.coordination.lease.DomainRow;

/**
 * Decides when the store is read: by the relay in fixed periods, by others while something is
 * wrong. Each kind of read has at most one call in flight. Used by the control loop only.
 */
final class StorePolling {

  private final ControlState state;
  private final RowWriter writer;
  private final Random random;
  private final Set<String> inFlight = new HashSet<>();
  private long nextCurrentNanos;
  private long nextOwnRowNanos;
  private long nextRecordsNanos;
  private long nextAllRowsNanos;
  private long nextVmListNanos;

  StorePolling(ControlState state, RowWriter writer, Random random, long nowNanos) {
    this.state = state;
    this.writer = writer;
    this.random = random;
    this.nextCurrentNanos = nowNanos;
    this.nextOwnRowNanos = nowNanos;
    this.nextRecordsNanos = nowNanos;
    this.nextAllRowsNanos = nowNanos;
    this.nextVmListNanos = nowNanos;
  }

  void tick(long nowNanos, Actions actions) {
    boolean relay = state.isRelay();
    boolean ownView = state.needsOwnView(nowNanos);
    if ((relay || ownView) && nowNanos - nextCurrentNanos >= 0) {
      nextCurrentNanos = nowNanos + jittered(ControlTimings.CURRENT_VERSION_READ_NANOS);
      once(CurrentVersion.KEY, actions, currentVersionRead());
    }
    boolean unknown = state.ownRow().isEmpty() || ownView;
    if (unknown && !writer.isWriter(nowNanos) && nowNanos - nextOwnRowNanos >= 0) {
      nextOwnRowNanos = nowNanos + jittered(ControlTimings.ROW_WRITE_NANOS);
      String key = DomainRow.key(state.domain());
      once(key, actions, new ControlAction.ReadRow(key, ControlAction.Purpose.LEARN));
    }
    if (relay && nowNanos - nextRecordsNanos >= 0) {
      nextRecordsNanos = nowNanos + jittered(ControlTimings.RECORDS_NANOS);
      OperatorRecords.PREFIXES.forEach(
          prefix -> once(prefix, actions, new ControlAction.ListRows(prefix)));
    }
    pollLists(relay, nowNanos, actions);
  }

  private void pollLists(boolean relay, long nowNanos, Actions actions) {
    if ((relay || state.rows.all().isEmpty()) && nowNanos - nextAllRowsNanos >= 0) {
      nextAllRowsNanos = nowNanos + jittered(ControlTimings.ALL_DOMAIN_ROWS_NANOS);
      once(DomainRow.KEY_PREFIX, actions, new ControlAction.ListRows(DomainRow.KEY_PREFIX));
    }
    if (relay && nowNanos - nextVmListNanos >= 0) {
      nextVmListNanos = nowNanos + jittered(ControlTimings.VM_LIST_NANOS);
      once("vms", actions, new ControlAction.ListVms());
    }
  }

  private static ControlAction currentVersionRead() {
    return new ControlAction.ReadRow(CurrentVersion.KEY, ControlAction.Purpose.CURRENT_VERSION);
  }

  private void once(String call, Actions actions, ControlAction action) {
    if (inFlight.add(call)) {
      actions.add(action);
    }
  }

  void answered(String call) {
    inFlight.remove(call);
  }

  /** Reads the list of all domain rows again soon, after it could not be read. */
  void retryAllRows(long nowNanos) {
    nextAllRowsNanos = nowNanos + ControlTimings.SUSPECT_RETRY_NANOS;
  }

  /** Spreads the reads of many VMs; the period is never exceeded. */
  private long jittered(long periodNanos) {
    return periodNanos - random.nextLong(periodNanos / 10);
  }
}
