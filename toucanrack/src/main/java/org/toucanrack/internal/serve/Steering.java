package org.toucanrack.internal.serve;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.move.ShiftGate;
import org.toucanrack.internal.coordination.move.ShiftWindowGate;
import org.toucanrack.internal.coordination.rollout.FaultListener;
import org.toucanrack.internal.coordination.rollout.RolloutSelector;
import org.toucanrack.internal.state.ControlSnapshot;

/** Holds the shift gate and the version selector and keeps them in step. Thread-safe. */
final class Steering {

  private static final ShiftRule BEFORE_CONFIGURATION = new ShiftRule(0.01, Duration.ofSeconds(10));

  private final ShiftWindowGate shifts = new ShiftWindowGate(BEFORE_CONFIGURATION);
  private final RolloutSelector versions;

  Steering(FaultListener listener) {
    versions = new RolloutSelector(listener);
  }

  ShiftGate shifts() {
    return shifts;
  }

  RolloutSelector versions() {
    return versions;
  }

  void update(Configuration configuration, ControlSnapshot snapshot, long nowNanos) {
    shifts.updateRule(configuration.deployment().rules().shift());
    shifts.updateSplits(snapshot.self().failureDomain(), snapshot.splits(), nowNanos);
    versions.updateDeclarations(configuration.deployment().versions());
    versions.update(currentVersions(configuration), snapshot.versionShares());
  }

  private static Map<ServiceId, VersionId> currentVersions(Configuration configuration) {
    return configuration.deployment().versions().stream()
        .filter(version -> !version.isCandidate())
        .collect(
            Collectors.toMap(ServiceVersion::service, ServiceVersion::id, (one, other) -> one));
  }
}
