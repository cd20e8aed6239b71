package org.toucanrack.steering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.protocol.message.HttpMessage;

/** How callers ask which VM to use, and how the platform asks whether a VM is ready. */
public interface LookupFormat {

  /** Returns the question of a caller; empty if the request is none. */
  Optional<Query> parseQuery(HttpMessage request);

  /** Returns whether the request asks whether this VM is ready. */
  boolean isReadinessCheck(HttpMessage request);

  /** Returns the answer to a question. */
  HttpMessage response(List<InetSocketAddress> vms, Duration timeToLive);

  /**
   * What a caller asks.
   *
   * @param failureDomain where the caller is, if it says so and the domain is known
   */
  record Query(Optional<FailureDomainId> failureDomain) {}
}
