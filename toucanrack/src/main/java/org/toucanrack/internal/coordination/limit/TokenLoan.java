package org.toucanrack.internal.coordination.limit;

/**
 * A share owner's answer to a request for tokens. Immutable and thread-safe.
 *
 * @param tokens tokens lent, already subtracted by the lender
 * @param retryAfterMillis milliseconds after which to retry if fewer tokens than requested were
 *     lent
 */
public record TokenLoan(double tokens, long retryAfterMillis) {}
