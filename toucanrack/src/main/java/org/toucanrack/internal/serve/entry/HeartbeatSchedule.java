package org.toucanrack.internal.serve.entry;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decides which VMs get a heartbeat, and how long they have to wait for the next one.
 *
 * <p>Load pattern: large fleets, of which most VMs are on standby. Heartbeats between all VMs grow
 * with the square of the fleet, and those between failure domains are expensive.
 *
 * <p>Invariant: the announced interval is never shorter than the time to the next heartbeat, apart
 * from late timers. Not thread-safe.
 */
final class HeartbeatSchedule {

  /**
   * Interval from a VM on standby to its own failure domain, which may need it within seconds, and
   * from serving VMs to VMs on standby in other regions.
   */
  static final int STANDBY_INTERVAL_MS = 2500;

  /**
   * Interval from a VM on standby to other failure domains, which need to know only that it exists.
   * Shorter than half of the time after which a silent member is forgotten.
   */
  static final int OTHER_DOMAIN_STANDBY_INTERVAL_MS = 20_000;

  /**
   * Heartbeats that a VM on standby sends to other failure domains in short intervals after a
   * change. A VM that missed the first one would count the earlier claims of this VM for longer.
   */
  private static final int STANDBY_ANNOUNCEMENTS = 3;

  /**
   * Timers fire with varying delay, so a heartbeat that is early by up to this much counts as due.
   */
  static final long TIMER_TOLERANCE_MS = 300;

  private long standbySentNanos;
  private long otherDomainSentNanos;
  private int announcementsLeft = STANDBY_ANNOUNCEMENTS;
  private boolean serving;
  private boolean standbyDue;
  private boolean otherDomainDue;

  /** Where another VM runs, as seen from this one, and whether callers are sent to it. */
  record Recipient(boolean inOwnDomain, boolean inOwnRegion, boolean serves) {

    /** A VM from which no heartbeat has arrived yet; it may run anywhere. */
    static final Recipient UNKNOWN = new Recipient(true, true, true);
  }

  HeartbeatSchedule(long nowNanos) {
    restart(nowNanos);
  }

  /** Sends to all VMs with the next heartbeat, and in short intervals for a while. */
  void restart(long nowNanos) {
    standbySentNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(STANDBY_INTERVAL_MS);
    otherDomainSentNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(STANDBY_INTERVAL_MS);
    announcementsLeft = STANDBY_ANNOUNCEMENTS;
  }

  /**
   * Begins a heartbeat.
   *
   * @param isServing whether callers are sent to this VM
   * @param isLeaving whether this VM stops, so that every VM gets the heartbeat
   */
  void begin(boolean isServing, boolean isLeaving, long nowNanos) {
    serving = isServing;
    standbyDue = isLeaving || isOver(standbySentNanos, STANDBY_INTERVAL_MS, nowNanos);
    otherDomainDue = isLeaving || isOver(otherDomainSentNanos, otherDomainInterval(), nowNanos);
    if (standbyDue) {
      standbySentNanos = nowNanos;
    }
    if (otherDomainDue) {
      otherDomainSentNanos = nowNanos;
      announcementsLeft = Math.max(0, announcementsLeft - 1);
    }
  }

  /**
   * Returns the interval to announce to a VM, where 0 stands for the shortest one, or nothing if
   * the VM does not get this heartbeat.
   */
  OptionalInt dueInterval(Recipient recipient) {
    int interval = interval(recipient);
    boolean due = interval == 0 || (isDistantFromStandby(recipient) ? otherDomainDue : standbyDue);
    return due ? OptionalInt.of(interval) : OptionalInt.empty();
  }

  /** Returns the time until the next heartbeat to a VM; 0 stands for the shortest interval. */
  int interval(Recipient recipient) {
    if (isDistantFromStandby(recipient)) {
      return otherDomainInterval();
    }
    boolean getsAll = serving && (recipient.serves() || recipient.inOwnRegion());
    return getsAll ? 0 : STANDBY_INTERVAL_MS;
  }

  private boolean isDistantFromStandby(Recipient recipient) {
    return !serving && !recipient.inOwnDomain();
  }

  private int otherDomainInterval() {
    return announcementsLeft > 0 ? STANDBY_INTERVAL_MS : OTHER_DOMAIN_STANDBY_INTERVAL_MS;
  }

  private static boolean isOver(long sinceNanos, long intervalMillis, long nowNanos) {
    return nowNanos - sinceNanos
        >= TimeUnit.MILLISECONDS.toNanos(intervalMillis - TIMER_TOLERANCE_MS);
  }
}
