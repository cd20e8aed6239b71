package org.toucanrack.internal.coordination.dispatch;

import org.toucanrack.configuration.BackendServer;

/**
 * The right to run one request on a backend server. Must be released exactly once. Immutable and
 * thread-safe.
 *
 * @param requestId the request
 * @param server where it runs
 * @param grantedAtNanos monotonic time of the grant
 */
public record SlotGrant(String requestId, BackendServer server, long grantedAtNanos) {}
