package org.toucanrack.internal.coordination.dispatch;

import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VersionId;

/**
 * A request to the owner for one slot of a backend server. Immutable and thread-safe.
 *
 * @param requestId unique over all VMs
 * @param customer the flow in the fair queue
 * @param weight weight of the flow
 * @param version the version to run on; empty for any version that is not a candidate
 * @param server the backend server to run on; empty for any
 * @param excluded a server that an earlier attempt failed on; avoided when there is another
 * @param onlyIfFree whether to refuse instead of queueing
 * @param deadlineNanos monotonic time after which the request is refused
 */
public record SlotRequest(
    String requestId,
    CustomerId customer,
    double weight,
    Optional<VersionId> version,
    Optional<BackendServerId> server,
    Optional<BackendServerId> excluded,
    boolean onlyIfFree,
    long deadlineNanos) {}
