package org.toucanrack.configuration;

import java.time.Duration;

/**
 * Rules of the whole deployment. Immutable and thread-safe.
 *
 * @param shift limits on traffic shifts
 * @param lookUpTimeToLive how long callers may cache the answer to a look-up
 * @param keyFreshness how long requests that need a key are served after the keys were last
 *     confirmed as current
 */
public record Rules(ShiftRule shift, Duration lookUpTimeToLive, Duration keyFreshness) {}
