package org.toucanrack.internal.coordination.dispatch;

import java.util.OptionalLong;
import org.toucanrack.configuration.BackendServer;

/**
 * A backend server whose slots this VM owns. Immutable and thread-safe.
 *
 * @param server the server
 * @param usableFromNanos monotonic time at which the quarantine after a takeover ends
 * @param draining whether the server or this VM's ownership of it is ending
 * @param concurrency current limit of concurrent requests, at most the declared slots
 * @param role role of its version in the service
 * @param coldStartNanos monotonic time at which the start of the server was observed; empty if it
 *     is warm
 * @param reportedLoad load from 0 to 1 as reported by the server itself; only breaks ties
 */
public record OwnedServer(
    BackendServer server,
    long usableFromNanos,
    boolean draining,
    int concurrency,
    VersionRole role,
    OptionalLong coldStartNanos,
    double reportedLoad) {

  /** Limits the concurrency to the declared slots. */
  public OwnedServer {
    concurrency = Math.max(0, Math.min(concurrency, server.slots()));
  }
}
