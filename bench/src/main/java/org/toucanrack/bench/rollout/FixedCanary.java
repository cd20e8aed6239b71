package org.toucanrack.bench.rollout;

import java.util.Random;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Completion;

/**
 * The reference strategy: a fixed random share of 5% for ten minutes, then all traffic. Rolls back
 * when more than 5% of at least 50 requests within one minute fail. Not thread-safe.
 */
final class FixedCanary implements RolloutStrategy {

  private static final double CANARY_SHARE = 0.05;
  private static final double CANARY_SECONDS = 600;
  private static final double MAX_ERROR_FRACTION = 0.05;
  private static final int MIN_REQUESTS_PER_CHECK = 50;
  private static final double CHECK_INTERVAL_SECONDS = 60;

  private final Random random;
  private double share = CANARY_SHARE;
  private double intervalStartSeconds;
  private int requests;
  private int errors;
  private boolean rolledBack;

  FixedCanary(Random random) {
    this.random = random;
  }

  @Override
  public boolean selectsCandidate(Arrival arrival) {
    return !rolledBack && random.nextDouble() < share;
  }

  @Override
  public boolean concentratesLoad() {
    return false;
  }

  @Override
  public void observe(Arrival arrival, Completion completion, boolean candidate) {
    if (candidate) {
      requests++;
      errors += completion.failed() ? 1 : 0;
    }
  }

  @Override
  public void tick(double seconds) {
    if (seconds - intervalStartSeconds >= CHECK_INTERVAL_SECONDS) {
      rolledBack |= requests >= MIN_REQUESTS_PER_CHECK && errors > MAX_ERROR_FRACTION * requests;
      intervalStartSeconds = seconds;
      requests = 0;
      errors = 0;
    }
    if (seconds >= CANARY_SECONDS) {
      share = 1;
    }
  }

  @Override
  public boolean isRolledBack() {
    return rolledBack;
  }

  @Override
  public boolean isComplete() {
    return share >= 1 && !rolledBack;
  }
}
