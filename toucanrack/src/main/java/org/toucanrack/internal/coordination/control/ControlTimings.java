package org.toucanrack.internal.coordination.control;

/** Periods and timeouts of the control loop. */
final class ControlTimings {

  static final long NANOS_PER_MILLISECOND = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

  /** Well below the gap in the control loop after which a VM treats itself as paused. */
  static final long TICK_PERIOD_NANOS = 200 * NANOS_PER_MILLISECOND;

  static final long HEARTBEAT_PERIOD_NANOS = NANOS_PER_SECOND;

  /**
   * Shorter than the heartbeat period, so that the outcome of each round is known before the next
   * one.
   */
  static final long PEER_TIMEOUT_MILLIS = 800;

  static final long FETCH_TIMEOUT_MILLIS = 3_000;

  static final long ROW_WRITE_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  /**
   * Minimum time between writes of the row while a change is pending, such as a confirmed release.
   */
  static final long MIN_ROW_WRITE_INTERVAL_NANOS = 500 * NANOS_PER_MILLISECOND;

  /** Time for which a new writer collects heartbeats before it assigns or moves resources. */
  static final long ASSIGNMENT_DELAY_NANOS = 2 * NANOS_PER_SECOND;

  /**
   * Age up to which a heartbeat counts its sender as live, or this VM as the relay that the sender
   * uses.
   */
  static final long HEARTBEAT_EXPIRY_NANOS = 3 * NANOS_PER_SECOND;

  static final long CURRENT_VERSION_READ_PERIOD_NANOS = NANOS_PER_SECOND;

  /**
   * Time without an answer from the relay after which a member contacts the store and all members
   * itself.
   */
  static final long RELAY_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;

  /**
   * Half a lease. After this time without a renewal, a member contacts the store and all members
   * itself.
   */
  static final long RENEWAL_OVERDUE_NANOS = 5 * NANOS_PER_SECOND;

  static final long OTHER_DOMAINS_HEARTBEAT_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  static final long RECORDS_READ_PERIOD_NANOS = 2 * NANOS_PER_SECOND;

  static final long ALL_DOMAIN_ROWS_READ_PERIOD_NANOS = 60 * NANOS_PER_SECOND;

  static final long VM_LIST_PERIOD_NANOS = 10 * NANOS_PER_SECOND;

  static final long SUSPECT_RETRY_NANOS = 5 * NANOS_PER_SECOND;

  private ControlTimings() {}
}
