package org.toucanrack.internal.coordination.routing;

/**
 * This VM's share of the capacity of one link between regions, in both directions.
 *
 * <p>Invariant: over any interval, the bytes admitted stay within the share of the capacity, plus a
 * burst, the last admitted request and the responses that were in flight when the budget was
 * exhausted. Thread-safe.
 */
public final class LinkBudget {

  /** The rest is reserved for control traffic and for headers that are not counted. */
  private static final double USABLE_FRACTION = 0.9;

  private static final double BITS_PER_BYTE = 8;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.25;

  private double bytesPerNano;
  private double availableRequestBytes;
  private double availableResponseBytes;
  private long lastRefillNanos;

  /**
   * Creates a full budget.
   *
   * @param bitsPerSecond capacity of the link in each direction
   * @param vmCount number of VMs in this region, which share the link; each direction carries both
   *     the requests of one region's VMs and the responses to the other's, so that half of the
   *     capacity is budgeted for each
   */
  public LinkBudget(long bitsPerSecond, int vmCount, long nowNanos) {
    resize(bitsPerSecond, vmCount);
    availableRequestBytes = burstBytes();
    availableResponseBytes = burstBytes();
    lastRefillNanos = nowNanos;
  }

  /** Changes the share when the configuration or the number of VMs changes. */
  public final synchronized void resize(long bitsPerSecond, int vmCount) {
    double bytesPerSecond = bitsPerSecond * USABLE_FRACTION / BITS_PER_BYTE / 2;
    bytesPerNano = bytesPerSecond / Math.max(1, vmCount) / NANOS_PER_SECOND;
  }

  /**
   * Deducts the bytes of one request if neither budget is exhausted; returns whether it may be
   * sent.
   */
  public synchronized boolean trySend(long bytes, long nowNanos) {
    refill(nowNanos);
    if (availableResponseBytes <= 0 || availableRequestBytes <= 0) {
      return false;
    }
    availableRequestBytes -= bytes;
    return true;
  }

  /** Deducts the bytes of a response; a deficit blocks requests until it is refilled. */
  public synchronized void responseReceived(long bytes, long nowNanos) {
    refill(nowNanos);
    availableResponseBytes -= bytes;
  }

  private void refill(long nowNanos) {
    double added = Math.max(0, nowNanos - lastRefillNanos) * bytesPerNano;
    lastRefillNanos = Math.max(lastRefillNanos, nowNanos);
    availableRequestBytes = Math.min(burstBytes(), availableRequestBytes + added);
    availableResponseBytes = Math.min(burstBytes(), availableResponseBytes + added);
  }

  private double burstBytes() {
    return bytesPerNano * NANOS_PER_SECOND * BURST_SECONDS;
  }
}
