package org.toucanrack.internal.coordination.limit;

/**
 * The result of {@link RateLimiter#acquire}. Immutable and thread-safe.
 *
 * @param admitted whether a token was spent
 * @param retryAfterMillis milliseconds after which to retry if not admitted; otherwise 0
 */
public record RateDecision(boolean admitted, long retryAfterMillis) {}
