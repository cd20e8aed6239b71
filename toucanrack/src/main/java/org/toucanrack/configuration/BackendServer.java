package org.toucanrack.configuration;

import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * A declared backend server. Immutable and thread-safe.
 *
 * @param id the server
 * @param service the service it runs
 * @param version the software version it runs
 * @param failureDomain the failure domain it runs in
 * @param host its IP address
 * @param port TCP port
 * @param slots number of requests it can run concurrently
 * @param maxConnections number of connections it accepts; at least the number of slots
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

  /** Rejects a server without slots or with fewer connections than slots. */
  public BackendServer {
    if (slots < 1 || maxConnections < slots) {
      throw new IllegalArgumentException(
          "backend server " + id + " needs 1 or more slots and at least as many connections");
    }
  }
}
