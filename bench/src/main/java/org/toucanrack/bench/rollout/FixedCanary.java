package org.toucanrack.bench.rollout;

import java.util.Random;
import org.toucanrack.bench.rollout.FaultKind.Arrival;
import org.toucanrack.bench.rollout.SimulatedVersion.Ending;

/**
 * The comparison: a fixed random share of 5% for ten minutes, then all traffic; rolled back when
 * more than 5% of at least 50 requests in one minute fail.
 */
final class FixedCanary implements Strategy {

  private static final double SHARE = 0.05;
  private static final double CANARY_SECONDS = 600;
  private static final double MAX_ERROR_FRACTION = 0.05;
  private static final int MIN_REQUESTS = 50;
  private static final double MINUTE_SECONDS = 60;

  private final Random random;
  private double share = SHARE;
  private double minuteStart;
  private int requests;
  private int errors;
  private boolean takenBack;

  FixedCanary(Random random) {
    this.random = random;
  }

  @Override
  public boolean select(Arrival arrival) {
    return !takenBack && random.nextDouble() < share;
  }

  @Override
  public boolean packs() {
    return false;
  }

  @Override
  public void observe(Arrival arrival, Ending ending, boolean candidate) {
    if (candidate) {
      requests++;
      errors += ending.failed() ? 1 : 0;
    }
  }

  @Override
  public void tick(double seconds) {
    if (seconds - minuteStart >= MINUTE_SECONDS) {
      takenBack |= requests >= MIN_REQUESTS && errors > MAX_ERROR_FRACTION * requests;
      minuteStart = seconds;
      requests = 0;
      errors = 0;
    }
    if (seconds >= CANARY_SECONDS) {
      share = 1;
    }
  }

  @Override
  public boolean isTakenBack() {
    return takenBack;
  }

  @Override
  public boolean isComplete() {
    return share >= 1 && !takenBack;
  }
}
