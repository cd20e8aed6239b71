package org.toucanrack.configuration;

import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * A backend server. Immutable and thread-safe.
 *
 * @param id the server
 * @param service what it serves
 * @param version the software version it runs
 * @param failureDomain where it is
 * @param host IP number
 * @param port TCP port
 * @param slots requests it runs at the same time
 * @param maxConnections connections it takes
 */
public record BackendServer(
    BackendServerId id,
    ServiceId service,
    VersionId version,
    FailureDomainId failureDomain,
    String host,
    int port,
    int slots,
    int maxConnections) {

  /** Rejects impossible values. */
  public BackendServer {
    if (slots < 1 || maxConnections < slots) {
      throw new IllegalArgumentException(
          "backend server " + id + " needs 1 or more slots and at least as many connections");
    }
  }
}
