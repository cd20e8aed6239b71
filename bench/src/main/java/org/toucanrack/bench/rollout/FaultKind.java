package org.toucanrack.bench.rollout;

/** The kinds of fault that a new version can have in the experiment. */
enum FaultKind {
  NONE,
  ERRORS_AT_ONCE,
  SLOW_AT_ONCE,
  ONE_ROUTE,
  ONE_CUSTOMER,
  AFTER_TEN_MINUTES,
  FROM_HALF_LOAD;

  private static final double FAILURE_PROBABILITY = 0.3;
  private static final double PARTIAL_FAILURE_PROBABILITY = 0.5;
  private static final double SLOWDOWN_FACTOR = 3;
  private static final double FAULT_DELAY_SECONDS = 600;

  /** Returns the probability that the fault makes this request fail. */
  double failureProbability(Arrival arrival, double serverLoad) {
    return switch (this) {
      case ERRORS_AT_ONCE -> FAILURE_PROBABILITY;
      case ONE_ROUTE -> arrival.route() == 3 ? PARTIAL_FAILURE_PROBABILITY : 0;
      case ONE_CUSTOMER -> arrival.customer() == 7 ? PARTIAL_FAILURE_PROBABILITY : 0;
      case AFTER_TEN_MINUTES -> arrival.seconds() >= FAULT_DELAY_SECONDS ? FAILURE_PROBABILITY : 0;
      case FROM_HALF_LOAD -> serverLoad >= 0.5 ? FAILURE_PROBABILITY : 0;
      default -> 0;
    };
  }

  double slowdownFactor() {
    return this == SLOW_AT_ONCE ? SLOWDOWN_FACTOR : 1;
  }

  /** The arrival of one request. Immutable. */
  record Arrival(double seconds, int vm, int route, int customer) {}
}
