package org.toucanrack.internal.serve;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.internal.coordination.control.ControlPlane;
import org.toucanrack.internal.coordination.move.MoveDecision;
import org.toucanrack.internal.coordination.move.MovePlanner;
import org.toucanrack.internal.coordination.move.MoveRecord;
import org.toucanrack.internal.coordination.move.MoveState;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.platform.Row;

/**
 * Carries the steps of moves. Every VM may try; the conditional write lets one step through.
 *
 * <p>Invariant: a record is written only on the condition that the row which was planned from is
 * unchanged. Used by the housekeeping thread.
 */
final class MoveDriver {

  private static final Logger LOGGER = System.getLogger(MoveDriver.class.getName());
  private static final String PREFIX = "move/";

  private record Seen(long rowVersion, long atNanos) {}

  private final MovePlanner planner = new MovePlanner();
  private final Map<String, Seen> seen = new HashMap<>();
  private final ControlPlane control;
  private final RecordWriter writer;
  private final MoveLoad load;

  MoveDriver(ControlPlane control, RecordWriter writer, ServiceDispatchers dispatchers) {
    this.control = control;
    this.writer = writer;
    this.load = new MoveLoad(dispatchers);
  }

  /** Plans a step of each move that is not finished. Call about once a second. */
  void run(long nowNanos) {
    ControlSnapshot snapshot = control.snapshot();
    List<Row> rows = control.records(PREFIX);
    seen.keySet().retainAll(rows.stream().map(Row::key).toList());
    for (Row row : rows) {
      seen.merge(row.key(), new Seen(row.version(), nowNanos), MoveDriver::newer);
      snapshot
          .configuration()
          .ifPresent(configuration -> plan(row, snapshot, configuration.deployment(), nowNanos));
    }
  }

  private static Seen newer(Seen before, Seen now) {
    return before.rowVersion() == now.rowVersion() ? before : now;
  }

  private void plan(Row row, ControlSnapshot snapshot, Deployment deployment, long nowNanos) {
    Optional<MoveRecord> record = MoveSplits.read(row).filter(move -> !move.state().isFinal());
    if (record.isEmpty() || !snapshot.lease().permitsDispatch(nowNanos)) {
      return;
    }
    List<BackendServer> owned = OwnedServerList.granted(snapshot);
    MoveDecision decision =
        planner.plan(
            record.get(),
            seen.get(row.key()).atNanos(),
            load.conditions(record.get(), deployment, owned, nowNanos),
            nowNanos);
    decision
        .next()
        .filter(next -> load.canJudge(next, isBackwards(record.get(), next), deployment, owned))
        .ifPresent(next -> write(row, next));
  }

  private static boolean isBackwards(MoveRecord before, MoveRecord next) {
    return next.split() < before.split() || next.state() != MoveState.RUNNING && !isDone(next);
  }

  private static boolean isDone(MoveRecord next) {
    return next.state() == MoveState.DONE;
  }

  private void write(Row row, MoveRecord next) {
    writer
        .replace(row, next.toJson(row.value()))
        .thenAccept(
            answer -> {
              if (answer.isDone()) {
                LOGGER.log(Level.INFO, "[move] {0}: {1}", next.id(), next.reason());
              }
            });
  }
}
