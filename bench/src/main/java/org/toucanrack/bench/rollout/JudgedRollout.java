package org.toucanrack.bench.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Completion;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.rollout.RolloutPlanner;
import org.toucanrack.internal.coordination.rollout.RolloutRecord;
import org.toucanrack.internal.coordination.rollout.RolloutSelector;
import org.toucanrack.internal.coordination.rollout.RolloutState;
import org.toucanrack.internal.coordination.rollout.VersionSelector.Observation;
import org.toucanrack.internal.state.VersionShare;

/** The rollout of toucanrack: one selector per VM; a fault reaches all VMs with the next tick. */
final class JudgedRollout implements RolloutStrategy {

  private static final ServiceId SERVICE = new ServiceId("orders");
  private static final VersionId STABLE = new VersionId("v1");
  private static final VersionId CANDIDATE = new VersionId("v2");

  private final List<RolloutSelector> selectors = new ArrayList<>();
  private final RolloutPlanner planner = new RolloutPlanner();
  private final double carryBySeconds;
  private final ServiceVersion declaredVersion =
      new ServiceVersion(SERVICE, CANDIDATE, 1, Optional.of(Instant.EPOCH));
  private RolloutRecord record = planner.initialRecord(declaredVersion);
  private double recordWrittenSeconds;
  private Optional<String> fault = Optional.empty();

  JudgedRollout(int vms, double carryBySeconds) {
    this.carryBySeconds = carryBySeconds;
    for (int vm = 0; vm < vms; vm++) {
      selectors.add(new RolloutSelector((service, version, reason) -> recordFault(reason)));
    }
    publishShare();
  }

  @Override
  public boolean selectsCandidate(Arrival arrival) {
    VersionId version =
        selectors
            .get(arrival.vm())
            .select(SERVICE, routeId(arrival), customerId(arrival), toNanos(arrival.seconds()));
    return version.equals(CANDIDATE);
  }

  @Override
  public boolean concentratesLoad() {
    return record.share() <= RolloutPlanner.MAX_PROBE_SHARE;
  }

  @Override
  public void observe(Arrival arrival, Completion completion, boolean candidate) {
    selectors
        .get(arrival.vm())
        .observe(
            new Observation(
                SERVICE,
                candidate ? CANDIDATE : STABLE,
                routeId(arrival),
                customerId(arrival),
                completion.failed(),
                toNanos(completion.latencySeconds()),
                toNanos(completion.endSeconds())));
  }

  @Override
  public void tick(double seconds) {
    if (fault.isPresent() && !isRolledBack()) {
      record = record.takenBack(fault.get());
      selectors.forEach(selector -> selector.stop(SERVICE, CANDIDATE));
      publishShare();
    }
    Duration recordAge = Duration.ofMillis((long) ((seconds - recordWrittenSeconds) * 1000));
    Duration timeToDeadline = Duration.ofMillis((long) ((carryBySeconds - seconds) * 1000));
    planner
        .plan(record, declaredVersion, recordAge, timeToDeadline)
        .ifPresent(
            next -> {
              record = next;
              recordWrittenSeconds = seconds;
              publishShare();
            });
  }

  @Override
  public boolean isRolledBack() {
    return record.state() == RolloutState.TAKEN_BACK;
  }

  @Override
  public boolean isComplete() {
    return record.state() == RolloutState.COMPLETE;
  }

  private void recordFault(String reason) {
    fault = fault.or(() -> Optional.of(reason));
  }

  private void publishShare() {
    List<VersionShare> versionShares =
        List.of(new VersionShare(SERVICE, CANDIDATE, record.share()));
    selectors.forEach(selector -> selector.update(Map.of(SERVICE, STABLE), versionShares));
  }

  private static RouteId routeId(Arrival arrival) {
    return new RouteId("route" + arrival.route());
  }

  private static CustomerId customerId(Arrival arrival) {
    return new CustomerId("customer" + arrival.customer());
  }

  private static long toNanos(double seconds) {
    return (long) (seconds * 1e9);
  }
}
