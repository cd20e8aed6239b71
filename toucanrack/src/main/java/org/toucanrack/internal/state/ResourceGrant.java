package org.toucanrack.internal.state;

/**
 * Permission of this VM to use one resource that it owns. Immutable and thread-safe.
 *
 * @param epoch epoch of the ownership; increases with each change of the owner
 * @param usableFromNanos monotonic time from which the resource may be used; in the future while
 *     requests of a failed owner may still be running
 */
public record ResourceGrant(long epoch, long usableFromNanos) {

  /** Returns whether the resource may be used at this time, provided the lease permits it. */
  public boolean isUsable(long nowNanos) {
    return nowNanos - usableFromNanos >= 0;
  }
}
