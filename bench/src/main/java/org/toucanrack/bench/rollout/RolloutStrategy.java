package org.toucanrack.bench.rollout;

import org.toucanrack.bench.rollout.FaultKind.Arrival;

/** A way to roll a version out. Not thread-safe. */
interface RolloutStrategy {

  /** Returns whether the request runs on the new version. */
  boolean selectsCandidate(Arrival arrival);

  /** Returns whether requests of the new version are packed on few servers now. */
  boolean concentratesLoad();

  /** Records how a request ended. */
  void observe(Arrival arrival, SimulatedVersion.Completion completion, boolean candidate);

  /** Called once per simulated second. */
  void tick(double seconds);

  boolean isRolledBack();

  boolean isComplete();
}
