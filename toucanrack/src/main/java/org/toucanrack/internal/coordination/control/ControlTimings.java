package org.toucanrack.internal.coordination.control;

/** Periods and timeouts of the control loop. */
final class ControlTimings {

  static final long NANOS_PER_MILLISECOND = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

  /** Well under the control gap after which a VM treats itself as paused. */
  static final long TICK_PERIOD_NANOS = 200 * NANOS_PER_MILLISECOND;

  static final long HEARTBEAT_PERIOD_NANOS = NANOS_PER_SECOND;

  /** Shorter than the heartbeat period, so that each round knows the outcome of the one before. */
  static final long PEER_TIMEOUT_MILLIS = 800;

  static final long FETCH_TIMEOUT_MILLIS = 3_000;

  static final long ROW_WRITE_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  /** Least time between writes of the row when a change waits, such as a confirmed release. */
  static final long MIN_ROW_WRITE_INTERVAL_NANOS = 500 * NANOS_PER_MILLISECOND;

  /** How long a new writer listens before it assigns or moves resources. */
  static final long ASSIGNMENT_DELAY_NANOS = 2 * NANOS_PER_SECOND;

  /** Age up to which a heartbeat makes its sender a live member. */
  static final long HEARTBEAT_EXPIRY_NANOS = 3 * NANOS_PER_SECOND;

  static final long CURRENT_VERSION_READ_PERIOD_NANOS = NANOS_PER_SECOND;

  /** Silence of the relay after which a member reads the current version itself. */
  static final long RELAY_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;

  /** Half a lease without renewal makes a member ask the store and all members itself. */
  static final long RENEWAL_OVERDUE_NANOS = 5 * NANOS_PER_SECOND;

  static final long OTHER_DOMAINS_HEARTBEAT_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  static final long RECORDS_READ_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  static final long ALL_DOMAIN_ROWS_READ_PERIOD_NANOS = 60 * NANOS_PER_SECOND;

  static final long VM_LIST_PERIOD_NANOS = 10 * NANOS_PER_SECOND;

  static final long SUSPECT_RETRY_NANOS = 5 * NANOS_PER_SECOND;

  private ControlTimings() {}
}
