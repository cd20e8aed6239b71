package org.toucanrack.internal.coordination.routing;

import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * The input for routing one attempt of a request. Immutable and thread-safe.
 *
 * @param service the service
 * @param version the version to run on
 * @param requestBytes size of the request in bytes
 * @param excluded owners on which earlier attempts failed
 * @param nowNanos monotonic time
 */
public record RoutingRequest(
    ServiceId service,
    VersionId version,
    long requestBytes,
    Set<Incarnation> excluded,
    long nowNanos) {}
