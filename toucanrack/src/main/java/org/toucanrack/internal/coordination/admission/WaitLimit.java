package org.toucanrack.internal.coordination.admission;

/**
 * The longest wait at a server for which a request is sent while its service is scarce. Immutable
 * and thread-safe.
 *
 * @param nanos the longest expected wait
 * @param minQueued number of requests before it with which the request is sent in any case, so that
 *     slots are not idle between requests
 */
public record WaitLimit(double nanos, int minQueued) {}
