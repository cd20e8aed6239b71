package org.toucanrack.internal.coordination.limit;

/**
 * The answer of a {@link RateLimiter}. Immutable and thread-safe.
 *
 * @param admitted whether a token was taken
 * @param retryAfterMillis when to try again if not
 */
public record RateDecision(boolean admitted, long retryAfterMillis) {}
