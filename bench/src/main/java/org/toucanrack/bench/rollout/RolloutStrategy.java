package org.toucanrack.bench.rollout;

import org.toucanrack.bench.rollout.FaultKind.Arrival;

/** A strategy for rolling out a new version. Implementations are not thread-safe. */
interface RolloutStrategy {

  /** Returns whether the request is routed to the new version. */
  boolean selectsCandidate(Arrival arrival);

  /** Returns whether requests to the new version are currently concentrated on few servers. */
  boolean concentratesLoad();

  /** Records the completion of a request. */
  void observe(Arrival arrival, SimulatedVersion.Completion completion, boolean candidate);

  /** Called once per simulated second. */
  void tick(double seconds);

  boolean isRolledBack();

  boolean isComplete();
}
