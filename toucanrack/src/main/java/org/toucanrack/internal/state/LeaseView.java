package org.toucanrack.internal.state;

/**
 * The right of this VM to use what it owns. Immutable and thread-safe.
 *
 * @param validUntilNanos end of the lease on this process's monotonic clock ({@code
 *     System.nanoTime})
 * @param isolated whether the VM keeps its resources since no VM of its failure domain reaches the
 *     store
 * @param lastControlTickNanos when the control loop last ran; an old value means that the process
 *     was paused
 */
public record LeaseView(long validUntilNanos, boolean isolated, long lastControlTickNanos) {

  /** Longest gap between control ticks after which a VM treats itself as paused. */
  public static final long MAX_CONTROL_GAP_NANOS = 2_000_000_000L;

  /** Returns whether the VM may dispatch at this time. */
  public boolean permitsDispatch(long nowNanos) {
    boolean controlLoopRuns = nowNanos - lastControlTickNanos <= MAX_CONTROL_GAP_NANOS;
    return controlLoopRuns && (isolated || nowNanos - validUntilNanos < 0);
  }
}
