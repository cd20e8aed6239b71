package org.toucanrack.internal.state;

/**
 * Time of the newest proof that keys are fresh. Immutable and thread-safe.
 *
 * @param provenAtNanos time of the newest proof on the monotonic clock ({@code System.nanoTime})
 */
public record KeyFreshness(long provenAtNanos) {

  /** Returns the age of the newest proof in nanoseconds. */
  public long ageNanos(long nowNanos) {
    return nowNanos - provenAtNanos;
  }
}
