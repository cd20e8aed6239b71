package org.toucanrack.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * A backend server as it announced itself. Immutable and thread-safe.
 *
 * @param id the server
 * @param service the service it belongs to
 * @param version the version of its software
 * @param failureDomain where it stands
 * @param address where it takes requests
 * @param slots requests that it runs at a time
 * @param draining whether it will end soon
 * @param remainingColdPeriod how long it stays cold from the announcement on
 * @param startedAtMillis when this run of the server started, in milliseconds since 1970; 0 if not
 *     told
 */
public record AnnouncedServer(
    BackendServerId id,
    ServiceId service,
    VersionId version,
    FailureDomainId failureDomain,
    InetSocketAddress address,
    int slots,
    boolean draining,
    Duration remainingColdPeriod,
    long startedAtMillis) {

  /** Rejects missing parts and servers without slots. */
  public AnnouncedServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(remainingColdPeriod, "remainingColdPeriod");
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1, was " + slots);
    }
  }
}
