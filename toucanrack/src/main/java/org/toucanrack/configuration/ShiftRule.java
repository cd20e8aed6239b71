package org.toucanrack.configuration;

import java.time.Duration;

/**
 * Limits how fast the traffic of a service shifts between failure domains. Immutable and
 * thread-safe.
 *
 * @param capFraction largest fraction of a service's traffic that may shift within the window
 * @param window the length of the window
 */
public record ShiftRule(double capFraction, Duration window) {

  /** Rejects a fraction outside (0, 1] and a window that is not positive. */
  public ShiftRule {
    if (capFraction <= 0 || capFraction > 1) {
      throw new IllegalArgumentException("shift cap must be above 0 and at most 1");
    }
    if (window.isNegative() || window.isZero()) {
      throw new IllegalArgumentException("shift window must be positive");
    }
  }
}
