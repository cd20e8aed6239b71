package org.toucanrack.bench.rollout;

/** The faults of a version in the experiment. */
enum FaultKind {
  NONE,
  ERRORS_AT_ONCE,
  SLOW_AT_ONCE,
  ONE_ROUTE,
  ONE_CUSTOMER,
  AFTER_TEN_MINUTES,
  FROM_HALF_LOAD;

  private static final double FAILING_FRACTION = 0.3;
  private static final double FAILING_FRACTION_OF_PART = 0.5;
  private static final double SLOWDOWN = 3;
  private static final double TEN_MINUTES_SECONDS = 600;

  /** Returns the probability that the faulty version fails this request. */
  double failingFraction(Arrival arrival, double serverLoad) {
    return switch (this) {
      case ERRORS_AT_ONCE -> FAILING_FRACTION;
      case ONE_ROUTE -> arrival.route() == 3 ? FAILING_FRACTION_OF_PART : 0;
      case ONE_CUSTOMER -> arrival.customer() == 7 ? FAILING_FRACTION_OF_PART : 0;
      case AFTER_TEN_MINUTES -> arrival.seconds() >= TEN_MINUTES_SECONDS ? FAILING_FRACTION : 0;
      case FROM_HALF_LOAD -> serverLoad >= 0.5 ? FAILING_FRACTION : 0;
      default -> 0;
    };
  }

  double slowdown() {
    return this == SLOW_AT_ONCE ? SLOWDOWN : 1;
  }

  /** One request that arrives. Immutable. */
  record Arrival(double seconds, int vm, int route, int customer) {}
}
