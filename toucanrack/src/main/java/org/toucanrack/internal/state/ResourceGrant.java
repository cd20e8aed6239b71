package org.toucanrack.internal.state;

/**
 * The right of this VM to one resource that it owns. Immutable and thread-safe.
 *
 * @param epoch the epoch of the ownership; rises at each change of the owner
 * @param usableFromNanos monotonic time from which the resource may be used; later than now while
 *     requests of a lost owner may still be running
 */
public record ResourceGrant(long epoch, long usableFromNanos) {

  /** Returns whether the resource may be used at this time, provided the lease permits it. */
  public boolean isUsable(long nowNanos) {
    return nowNanos - usableFromNanos >= 0;
  }
}
