package org.toucanrack.internal.transport.http;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.dispatch.SlotDispatcher;
import org.toucanrack.internal.coordination.limit.RateLimiter;
import org.toucanrack.internal.coordination.move.ShiftGate;
import org.toucanrack.internal.coordination.rollout.VersionSelector;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.transport.peer.PeerTransport;

/**
 * Dependencies of the traffic path on the rest of the process. Immutable; all parts are
 * thread-safe.
 *
 * @param snapshot the latest control state
 * @param dispatchers the dispatcher of a service, or null if this VM has none
 * @param rateLimiter admits requests within customers' rates
 * @param versionSelector selects versions and observes outcomes
 * @param shiftGate limits traffic sent to other failure domains
 * @param peers sends messages to other VMs
 * @param metrics receives finished requests
 * @param clock monotonic time in nanoseconds
 */
public record TrafficCollaborators(
    Supplier<ControlSnapshot> snapshot,
    Function<ServiceId, SlotDispatcher> dispatchers,
    RateLimiter rateLimiter,
    VersionSelector versionSelector,
    ShiftGate shiftGate,
    PeerTransport peers,
    TrafficMetrics metrics,
    LongSupplier clock) {}
