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

/**
 * Updates the shift gate and the version selector from each configuration and snapshot.
 * Thread-safe.
 */
final class Steering {

  /** Rule that applies until the first configuration is adopted. */
  private static final ShiftRule INITIAL_SHIFT_RULE = new ShiftRule(0.01, Duration.ofSeconds(10));

  private final ShiftWindowGate shiftGate = new ShiftWindowGate(INITIAL_SHIFT_RULE);
  private final RolloutSelector versionSelector;

  Steering(FaultListener listener) {
    versionSelector = new RolloutSelector(listener);
  }

  ShiftGate shiftGate() {
    return shiftGate;
  }

  RolloutSelector versionSelector() {
    return versionSelector;
  }

  void update(Configuration configuration, ControlSnapshot snapshot, long nowNanos) {
    shiftGate.updateRule(configuration.deployment().rules().shift());
    shiftGate.updateSplits(snapshot.self().failureDomain(), snapshot.splits(), nowNanos);
    versionSelector.updateDeclarations(configuration.deployment().versions());
    versionSelector.update(currentVersions(configuration), snapshot.versionShares());
  }

  private static Map<ServiceId, VersionId> currentVersions(Configuration configuration) {
    return configuration.deployment().versions().stream()
        .filter(version -> !version.isCandidate())
        .collect(
            Collectors.toMap(ServiceVersion::service, ServiceVersion::id, (one, other) -> one));
  }
}
