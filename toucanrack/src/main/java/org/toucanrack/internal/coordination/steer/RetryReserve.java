package org.toucanrack.internal.coordination.steer;

import java.time.Duration;

/**
 * This VM's stock of extra attempts from the retry reserve of a service.
 *
 * <p>The VMs that share the reserve may each stock one half of an equal part and refill the other
 * half in each window. A stock is empty when a process starts or a VM begins to serve, so what a VM
 * used before a restart and what it uses after it add up to its part at most.
 *
 * <p>Invariant: if all VMs know how many share the reserve, the stocks of all VMs hold at most half
 * of it, and all VMs together take at most the whole reserve in any window, over any number of
 * restarts. Load pattern: VMs that restart at any moment while servers refuse requests. Not
 * thread-safe.
 */
public final class RetryReserve {

  /**
   * Fraction of the reserve that is used; the rest is a margin for VMs that begin to serve before
   * all others have heard of it.
   */
  private static final double USED_FRACTION = 0.9;

  /** Part of an equal share that may be stocked; the other part is the refill of a window. */
  private static final double STOCKED_FRACTION = 0.5;

  /**
   * How long attempts of other VMs are kept until this VM serves. The givers refill their stocks
   * meanwhile, so it is short compared with the window.
   */
  private static final Duration MAX_UNUSED_TIME = Duration.ofSeconds(2);

  /** Tolerance for sums of fractions of an attempt. */
  private static final double ROUNDING = 1e-9;

  private final double usable;
  private final double windowNanos;
  private int sharers;
  private boolean hasServed;
  private double stock;
  private long receivedNanos;
  private long refilledNanos;

  /**
   * Creates an empty stock that does not grow before {@link #setSharers}.
   *
   * @param attempts the reserve of all VMs together in a window
   * @param window the sliding window
   */
  public RetryReserve(double attempts, Duration window, long nowNanos) {
    this.usable = attempts * USED_FRACTION;
    this.windowNanos = window.toNanos();
    this.refilledNanos = nowNanos;
  }

  /** Creates a copy with the same stock. */
  public RetryReserve(RetryReserve other) {
    this.usable = other.usable;
    this.windowNanos = other.windowNanos;
    this.sharers = other.sharers;
    this.hasServed = other.hasServed;
    this.stock = other.stock;
    this.receivedNanos = other.receivedNanos;
    this.refilledNanos = other.refilledNanos;
  }

  /**
   * Sets the number of VMs that share the reserve. With 0 this VM does not serve, or does not know
   * the other VMs; it then takes nothing, and a VM that has served gives up its stock.
   */
  public void setSharers(int newSharers, long nowNanos) {
    refill(nowNanos);
    boolean startsToServe = !hasServed && newSharers > 0;
    boolean outdated = nowNanos - receivedNanos > MAX_UNUSED_TIME.toNanos();
    if ((newSharers == 0 && hasServed) || (startsToServe && outdated)) {
      stock = 0;
    }
    sharers = newSharers;
    hasServed |= newSharers > 0;
    if (newSharers > 0) {
      stock = Math.min(stock, capacity());
    }
  }

  /** Takes an attempt; returns whether there was one. */
  public boolean tryTake(long nowNanos) {
    refill(nowNanos);
    if (sharers == 0 || stock + ROUNDING < 1) {
      return false;
    }
    stock = Math.max(0, stock - 1);
    return true;
  }

  /**
   * Takes an equal part of the stock for another VM that has begun to serve.
   *
   * @param parts the number of parts
   * @return the attempts taken, which may be a fraction
   */
  public double give(int parts, long nowNanos) {
    refill(nowNanos);
    if (sharers == 0) {
      return 0;
    }
    double given = stock / Math.max(1, parts);
    stock -= given;
    return given;
  }

  /** Adds attempts that another VM has taken from its stock. Ignored on standby. */
  public void receive(double attempts, long nowNanos) {
    refill(nowNanos);
    if (!(attempts > 0) || (sharers == 0 && hasServed)) {
      return;
    }
    receivedNanos = nowNanos;
    stock = Math.min(stock + attempts, sharers == 0 ? usable * STOCKED_FRACTION : capacity());
  }

  private void refill(long nowNanos) {
    double windows = Math.max(0, nowNanos - refilledNanos) / windowNanos;
    refilledNanos = nowNanos;
    if (sharers > 0) {
      stock = Math.min(capacity(), stock + (share() - capacity()) * windows);
    }
  }

  private double share() {
    return usable / sharers;
  }

  /**
   * Returns the size of a full stock. A share of less than two attempts is stocked up to a whole
   * one; of a share below one, nothing can be used.
   */
  private double capacity() {
    return share() < 1 ? 0 : Math.max(1, share() * STOCKED_FRACTION);
  }
}
