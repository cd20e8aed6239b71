package org.toucanrack.configuration;

import java.time.Duration;

/**
 * Rules of the whole deployment. Immutable and thread-safe.
 *
 * @param shift bounds of traffic shifts
 * @param lookUpTimeToLive how long callers may cache a look-up answer
 * @param keyFreshness how long keyed routes are served without proof that keys are fresh
 */
public record Rules(ShiftRule shift, Duration lookUpTimeToLive, Duration keyFreshness) {}
