package org.toucanrack.bench.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Ending;
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

/** The rollout of toucanrack: one selector per VM, peers told of a fault with the next tick. */
final class JudgedRollout implements Strategy {

  private static final ServiceId SERVICE = new ServiceId("orders");
  private static final VersionId OLD = new VersionId("v1");
  private static final VersionId NEW = new VersionId("v2");

  private final List<RolloutSelector> selectors = new ArrayList<>();
  private final RolloutPlanner planner = new RolloutPlanner();
  private final double carryBySeconds;
  private final ServiceVersion declared =
      new ServiceVersion(SERVICE, NEW, 1, Optional.of(Instant.EPOCH));
  private RolloutRecord record = planner.initialRecord(declared);
  private double writtenSeconds;
  private Optional<String> fault = Optional.empty();

  JudgedRollout(int vms, double carryBySeconds) {
    this.carryBySeconds = carryBySeconds;
    for (int vm = 0; vm < vms; vm++) {
      selectors.add(new RolloutSelector((service, version, reason) -> noteFault(reason)));
    }
    publish();
  }

  @Override
  public boolean select(Arrival arrival) {
    VersionId version =
        selectors
            .get(arrival.vm())
            .select(SERVICE, route(arrival), customer(arrival), nanos(arrival.seconds()));
    return version.equals(NEW);
  }

  @Override
  public boolean packs() {
    return record.share() <= RolloutPlanner.MAX_PROBE_SHARE;
  }

  @Override
  public void observe(Arrival arrival, Ending ending, boolean candidate) {
    selectors
        .get(arrival.vm())
        .observe(
            new Observation(
                SERVICE,
                candidate ? NEW : OLD,
                route(arrival),
                customer(arrival),
                ending.failed(),
                nanos(ending.latencySeconds()),
                nanos(ending.atSeconds())));
  }

  @Override
  public void tick(double seconds) {
    if (fault.isPresent() && !isTakenBack()) {
      record = record.takenBack(fault.get());
      selectors.forEach(selector -> selector.stop(SERVICE, NEW));
      publish();
    }
    Duration seen = Duration.ofMillis((long) ((seconds - writtenSeconds) * 1000));
    Duration until = Duration.ofMillis((long) ((carryBySeconds - seconds) * 1000));
    planner
        .plan(record, declared, seen, until)
        .ifPresent(
            next -> {
              record = next;
              writtenSeconds = seconds;
              publish();
            });
  }

  @Override
  public boolean isTakenBack() {
    return record.state() == RolloutState.TAKEN_BACK;
  }

  @Override
  public boolean isComplete() {
    return record.state() == RolloutState.COMPLETE;
  }

  private void noteFault(String reason) {
    fault = fault.or(() -> Optional.of(reason));
  }

  private void publish() {
    List<VersionShare> shares = List.of(new VersionShare(SERVICE, NEW, record.share()));
    selectors.forEach(selector -> selector.update(Map.of(SERVICE, OLD), shares));
  }

  private static RouteId route(Arrival arrival) {
    return new RouteId("route" + arrival.route());
  }

  private static CustomerId customer(Arrival arrival) {
    return new CustomerId("customer" + arrival.customer());
  }

  private static long nanos(double seconds) {
    return (long) (seconds * 1e9);
  }
}
