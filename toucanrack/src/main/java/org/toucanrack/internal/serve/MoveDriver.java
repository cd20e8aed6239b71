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
 * Plans and writes the steps of moves. Every VM may plan a step; the conditional write lets only
 * one of them succeed.
 *
 * <p>Invariant: a record is written only on condition that the row from which the step was planned
 * is unchanged. Confined to the housekeeping thread.
 */
final class MoveDriver {

  private static final Logger LOGGER = System.getLogger(MoveDriver.class.getName());
  private static final String KEY_PREFIX = "move/";

  private record Observation(long rowVersion, long firstSeenNanos) {}

  private final MovePlanner planner = new MovePlanner();
  private final Map<String, Observation> observations = new HashMap<>();
  private final ControlPlane control;
  private final RecordWriter writer;
  private final MoveHeadroom headroom;

  MoveDriver(ControlPlane control, RecordWriter writer, ServiceDispatchers dispatchers) {
    this.control = control;
    this.writer = writer;
    this.headroom = new MoveHeadroom(dispatchers);
  }

  /** Plans the next step of each unfinished move. Call about once a second. */
  void run(long nowNanos) {
    ControlSnapshot snapshot = control.snapshot();
    List<Row> rows = control.records(KEY_PREFIX);
    observations.keySet().retainAll(rows.stream().map(Row::key).toList());
    for (Row row : rows) {
      observations.merge(
          row.key(), new Observation(row.version(), nowNanos), MoveDriver::firstOfSameVersion);
      snapshot
          .configuration()
          .ifPresent(configuration -> plan(row, snapshot, configuration.deployment(), nowNanos));
    }
  }

  private static Observation firstOfSameVersion(Observation before, Observation latest) {
    return before.rowVersion() == latest.rowVersion() ? before : latest;
  }

  private void plan(Row row, ControlSnapshot snapshot, Deployment deployment, long nowNanos) {
    Optional<MoveRecord> record = MoveSplits.parse(row).filter(move -> !move.state().isFinal());
    if (record.isEmpty() || !snapshot.lease().permitsDispatch(nowNanos)) {
      return;
    }
    List<BackendServer> owned = OwnedServerList.granted(snapshot);
    MoveDecision decision =
        planner.plan(
            record.get(),
            observations.get(row.key()).firstSeenNanos(),
            headroom.conditions(record.get(), deployment, owned, nowNanos),
            nowNanos);
    decision
        .next()
        .filter(
            next -> headroom.canMeasure(next, isReversal(record.get(), next), deployment, owned))
        .ifPresent(next -> write(row, next));
  }

  private static boolean isReversal(MoveRecord before, MoveRecord next) {
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
