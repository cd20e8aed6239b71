package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.steering.RolloutProgress;
import org.toucanrack.steering.RolloutReport;
import org.toucanrack.steering.RowCodec;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;

/**
 * Reports the phases of rollouts to the store. The VMs write staggered in the order of their names,
 * and each write is conditional on the known revision, so a late write never replaces a newer
 * report. Confined to the control thread.
 */
final class ReportWriter {

  /**
   * Each VM waits this much longer to write a report than the VM before it in the order of names.
   */
  private static final long STAGGER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Pause before a report is written again; the store may still apply a write whose outcome is
   * unknown.
   */
  private static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final VmId self;
  private final SharedStore store;
  private final RowCodec codec;
  private final SharedTableReplica replica;
  private final MemberTable members;
  private final DecisionLog log;
  private final Map<RolloutProgress, Long> dueNanos = new HashMap<>();

  ReportWriter(
      VmId self,
      SharedStore store,
      RowCodec codec,
      SharedTableReplica replica,
      MemberTable members,
      DecisionLog log) {
    this.self = self;
    this.store = store;
    this.codec = codec;
    this.replica = replica;
    this.members = members;
    this.log = log;
  }

  /**
   * Writes those of the unreported phases that are due. Waits while the reports have not been read
   * in the current epoch of the store, since their revisions are not known.
   */
  void write(Iterable<RolloutReport> unreported, long nowNanos) {
    if (!replica.isCurrent(SharedTable.REPORTS)) {
      return;
    }
    Set<RolloutProgress> pending = new HashSet<>();
    for (RolloutReport report : unreported) {
      RolloutProgress progress = report.progress();
      pending.add(progress);
      long due =
          dueNanos.computeIfAbsent(progress, key -> nowNanos + rank(nowNanos) * STAGGER_NANOS);
      if (nowNanos >= due) {
        dueNanos.put(progress, nowNanos + RETRY_PAUSE_NANOS);
        write(report);
      }
    }
    dueNanos.keySet().retainAll(pending);
  }

  private void write(RolloutReport report) {
    RolloutProgress progress = report.progress();
    SharedRow.RowKey key = codec.reportKey(progress);
    long revision =
        replica.row(SharedTable.REPORTS, key.name()).map(SharedRow::revision).orElse(0L);
    store
        .write(key, codec.encodeReport(report), revision, replica.epoch(SharedTable.REPORTS))
        .thenAccept(
            answer ->
                log.event(
                    "rollout-reported",
                    "service",
                    progress.service(),
                    "to",
                    progress.to(),
                    "phase",
                    progress.phase(),
                    "expected",
                    revision,
                    "done",
                    answer.isDone()));
  }

  /** Returns how many alive VMs come before this one in the order of names. */
  private int rank(long nowNanos) {
    int rank = 0;
    for (EntryHeartbeat member : members.aliveMembers(nowNanos)) {
      if (member.getVm().compareTo(self.value()) < 0) {
        rank++;
      }
    }
    return rank;
  }
}
