package org.toucanrack.internal.coordination.control;

/** Periods and timeouts of the control loop. */
final class ControlTimings {

  static final long MILLIS = 1_000_000L;
  static final long SECOND = 1_000 * MILLIS;

  /** Well under the control gap after which a VM treats itself as paused. */
  static final long TICK_NANOS = 200 * MILLIS;

  static final long HEARTBEAT_NANOS = SECOND;

  /** Shorter than the heartbeat period, so that each round knows the outcome of the one before. */
  static final long PEER_TIMEOUT_MILLIS = 800;

  static final long FETCH_TIMEOUT_MILLIS = 3_000;

  static final long ROW_WRITE_NANOS = 2 * SECOND;

  /** Least time between writes of the row when a change waits, such as a confirmed release. */
  static final long URGENT_ROW_WRITE_NANOS = 500 * MILLIS;

  /** How long a new writer listens before it assigns or moves resources. */
  static final long ASSIGN_DELAY_NANOS = 2 * SECOND;

  /** Age up to which a heartbeat makes its sender a live member. */
  static final long HEARD_NANOS = 3 * SECOND;

  static final long CURRENT_VERSION_READ_NANOS = SECOND;

  /** Silence of the relay after which a member reads the current version itself. */
  static final long SILENCE_NANOS = 3 * SECOND;

  /** Half a lease without renewal makes a member ask the store and all members itself. */
  static final long RENEWAL_CONCERN_NANOS = 5 * SECOND;

  static final long OTHER_DOMAINS_NANOS = 2 * SECOND;

  static final long RECORDS_NANOS = 2 * SECOND;

  static final long ALL_DOMAIN_ROWS_NANOS = 60 * SECOND;

  static final long VM_LIST_NANOS = 10 * SECOND;

  static final long SUSPECT_RETRY_NANOS = 5 * SECOND;

  private ControlTimings() {}
}
