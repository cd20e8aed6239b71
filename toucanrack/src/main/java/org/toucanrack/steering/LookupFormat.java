package org.toucanrack.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * The format of look-ups, by which callers find the VMs to use, and of the readiness checks of the
 * platform. Implementations are thread-safe.
 */
public interface LookupFormat {

  /** Decodes the look-up of a caller; empty if the request is not a look-up. */
  Optional<Query> parseQuery(HttpMessage request);

  /** Returns whether the request is a readiness check. */
  boolean isReadinessCheck(HttpMessage request);

  /** Returns the response to a look-up, with the time that callers may cache it. */
  HttpMessage response(List<InetSocketAddress> vms, Duration timeToLive);

  /**
   * A decoded look-up.
   *
   * @param failureDomain the failure domain of the caller; empty if it is not given or invalid
   */
  record Query(Optional<FailureDomainId> failureDomain) {}
}
