package org.toucanrack.configuration;

import java.time.Duration;

/**
 * Bounds shifts of traffic of a service between failure domains. Immutable and thread-safe.
 *
 * @param capFraction largest fraction of a service's traffic that may shift in one window
 * @param window the window
 */
public record ShiftRule(double capFraction, Duration window) {

  /** Rejects impossible values. */
  public ShiftRule {
    if (capFraction <= 0 || capFraction > 1) {
      throw new IllegalArgumentException("shift cap must be above 0 and at most 1");
    }
    if (window.isNegative() || window.isZero()) {
      throw new IllegalArgumentException("shift window must be positive");
    }
  }
}
