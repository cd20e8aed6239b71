package org.toucanrack.internal.serve;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.rollout.RolloutPlanner;
import org.toucanrack.internal.coordination.rollout.RolloutRecord;
import org.toucanrack.internal.coordination.rollout.RolloutState;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.platform.Row;

/**
 * Plans and writes the steps of rollouts and records faults that this VM or a peer detected.
 *
 * <p>Invariant: a fault stays pending until the record shows the version as taken back or declared
 * anew, so that a lost write is repeated. Only owners of backend servers of the version write its
 * record. {@link #run} is confined to the housekeeping thread; other methods are thread-safe.
 */
final class RolloutDriver {

  static final String KEY_PREFIX = "rollout/";

  private static final Logger LOGGER = System.getLogger(RolloutDriver.class.getName());

  private record Observation(long rowVersion, long firstSeenNanos) {}

  private record Fault(int declaration, String reason) {}

  private final RolloutPlanner planner = new RolloutPlanner();
  private final Map<String, Observation> observations = new HashMap<>();
  private final Map<String, Fault> faults = new ConcurrentHashMap<>();
  private final RecordWriter writer;
  private final InstantSource wallClock;

  RolloutDriver(RecordWriter writer, InstantSource wallClock) {
    this.writer = writer;
    this.wallClock = wallClock;
  }

  /** Adds a fault that is kept until the record reflects it. */
  void addFault(ServiceVersion version, String reason) {
    faults.put(key(version.service(), version.id()), new Fault(version.declaration(), reason));
  }

  /** Plans the next step of each rollout. Call about once a second. */
  void run(ControlSnapshot snapshot, List<Row> rows, long nowNanos) {
    if (snapshot.configuration().isEmpty() || !snapshot.lease().permitsDispatch(nowNanos)) {
      return;
    }
    Deployment deployment = snapshot.configuration().get().deployment();
    deployment.versions().stream()
        .filter(ServiceVersion::isCandidate)
        .filter(version -> ownsServerOf(snapshot, version))
        .forEach(version -> advance(version, findRow(rows, version), nowNanos));
  }

  private static boolean ownsServerOf(ControlSnapshot snapshot, ServiceVersion version) {
    return OwnedServerList.granted(snapshot).stream()
        .anyMatch(
            server ->
                server.service().equals(version.service())
                    && server.version().equals(version.id()));
  }

  private void advance(ServiceVersion version, Optional<Row> row, long nowNanos) {
    if (row.isEmpty()) {
      writer.create(key(version.service(), version.id()), planner.initialRecord(version).toJson());
      return;
    }
    RolloutRecord record = RolloutRecord.fromJson(row.get().value());
    nextRecord(version, record, timeInState(row.get(), nowNanos))
        .ifPresent(
            next -> {
              LOGGER.log(
                  Level.INFO,
                  "[rollout] Version {0} of service {1}: {2}",
                  next.version(),
                  next.service(),
                  next.reason());
              writer.replace(row.get(), next.toJson());
            });
  }

  private Optional<RolloutRecord> nextRecord(
      ServiceVersion version, RolloutRecord record, Duration timeInState) {
    Fault fault = faults.get(key(version.service(), version.id()));
    if (fault != null && fault.declaration() == record.declaration()) {
      return record.state() == RolloutState.TAKEN_BACK
          ? planner.plan(record, version, timeInState, Duration.ZERO)
          : Optional.of(record.takenBack(fault.reason()));
    }
    Duration untilCarryBy = Duration.between(wallClock.instant(), version.carryBy().orElseThrow());
    return planner.plan(record, version, timeInState, untilCarryBy);
  }

  private Duration timeInState(Row row, long nowNanos) {
    Observation current = new Observation(row.version(), nowNanos);
    Observation first =
        observations.merge(
            row.key(),
            current,
            (before, latest) -> before.rowVersion() == latest.rowVersion() ? before : latest);
    return Duration.ofNanos(nowNanos - first.firstSeenNanos());
  }

  private static Optional<Row> findRow(List<Row> rows, ServiceVersion version) {
    String key = key(version.service(), version.id());
    return rows.stream().filter(row -> row.key().equals(key)).findFirst();
  }

  private static String key(ServiceId service, VersionId version) {
    return KEY_PREFIX + service + "/" + version;
  }
}
