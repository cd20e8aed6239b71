package org.toucanrack.internal.coordination.retry;

/** Reduces the remaining time of a request at each hop. Stateless and thread-safe. */
public final class HopDeadline {

  /**
   * Longest time reserved for the return of the answer; a message between regions takes about 12
   * ms.
   */
  private static final long MAX_RESERVE_MILLIS = 15;

  private static final long RESERVE_DIVISOR = 10;

  private HopDeadline() {}

  /**
   * Returns the time that the next hop may use, so that its answer arrives before the deadline
   * here.
   */
  public static long forNextHop(long remainingMillis) {
    return Math.max(
        0, remainingMillis - Math.min(MAX_RESERVE_MILLIS, remainingMillis / RESERVE_DIVISOR));
  }
}
