package org.toucanrack.internal.coordination.limit;

/**
 * The answer of a share owner. Immutable and thread-safe.
 *
 * @param tokens tokens lent, already subtracted by the giver
 * @param retryAfterMillis when to ask again if fewer than wanted were lent
 */
public record TokenLoan(double tokens, long retryAfterMillis) {}
