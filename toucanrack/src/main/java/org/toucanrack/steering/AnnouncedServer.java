package org.toucanrack.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * A backend server, as described by its own announcement. Immutable and thread-safe.
 *
 * @param id the server
 * @param service the service it belongs to
 * @param version the version of its software
 * @param failureDomain the failure domain it runs in
 * @param address the address it accepts requests on
 * @param slots number of requests it can run concurrently; at least 1
 * @param draining whether it is about to stop
 * @param remainingColdPeriod time after the announcement until it is warm; zero if it is warm
 * @param startedAtMillis when this run of the server started, in milliseconds since 1970; 0 if not
 *     announced
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

  // Written out to spare each process the code that links the added ones, see
  // docs/design/start-up.md.
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof AnnouncedServer server
            && id.equals(server.id)
            && service.equals(server.service)
            && version.equals(server.version)
            && failureDomain.equals(server.failureDomain)
            && address.equals(server.address)
            && slots == server.slots
            && draining == server.draining
            && remainingColdPeriod.equals(server.remainingColdPeriod)
            && startedAtMillis == server.startedAtMillis);
  }

  @Override
  public int hashCode() {
    return id.hashCode() * 31 + Long.hashCode(startedAtMillis);
  }
}
