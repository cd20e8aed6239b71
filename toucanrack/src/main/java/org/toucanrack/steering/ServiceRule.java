package org.toucanrack.steering;

import java.time.Duration;
import java.util.Objects;
import org.toucanrack.id.ServiceId;

/**
 * The rules for all servers of a service. Immutable and thread-safe.
 *
 * @param id the service
 * @param maxConnections number of connections that one server accepts from all VMs together
 * @param coldPeriod how long a server stays cold after its start
 * @param coldRequestsPerSecond the request rate that a cold server can take from all VMs together
 */
public record ServiceRule(
    ServiceId id, int maxConnections, Duration coldPeriod, double coldRequestsPerSecond) {

  /** Rejects missing parts. */
  public ServiceRule {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(coldPeriod, "coldPeriod");
  }
}
