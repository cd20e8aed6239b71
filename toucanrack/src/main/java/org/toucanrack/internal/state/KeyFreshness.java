package org.toucanrack.internal.state;

/**
 * How recently keys were proved fresh. Immutable and thread-safe.
 *
 * @param provenAtNanos monotonic time of the newest proof
 */
public record KeyFreshness(long provenAtNanos) {

  /** Returns the age of the proof. */
  public long ageNanos(long nowNanos) {
    return nowNanos - provenAtNanos;
  }
}
