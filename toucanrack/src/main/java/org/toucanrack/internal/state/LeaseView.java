package org.toucanrack.internal.state;

/**
 * Lease that permits this VM to use its resources. Immutable and thread-safe.
 *
 * @param validUntilNanos end of the lease on this process's monotonic clock ({@code
 *     System.nanoTime})
 * @param isolated whether the VM keeps its resources because no VM of its failure domain can reach
 *     the store
 * @param lastControlTickNanos monotonic time of the last control loop iteration; an old value
 *     indicates a paused process
 */
public record LeaseView(long validUntilNanos, boolean isolated, long lastControlTickNanos) {

  /**
   * Maximum time since the last control tick; after a longer gap the VM treats itself as paused and
   * stops dispatching.
   */
  public static final long MAX_CONTROL_GAP_NANOS = 2_000_000_000L;

  /** Returns whether the VM may dispatch at this time. */
  public boolean permitsDispatch(long nowNanos) {
    boolean controlLoopRuns = nowNanos - lastControlTickNanos <= MAX_CONTROL_GAP_NANOS;
    return controlLoopRuns && (isolated || nowNanos - validUntilNanos < 0);
  }
}
