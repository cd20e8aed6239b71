package org.toucanrack.steering;

import java.time.Duration;
import java.util.Objects;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * An operator's order to move the traffic of a service to a version. Immutable and thread-safe.
 *
 * @param service the service
 * @param to the target version
 * @param timeLimit the time from the order until the version has to receive all traffic
 */
public record RolloutOrder(ServiceId service, VersionId to, Duration timeLimit) {

  /** Rejects missing parts. */
  public RolloutOrder {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(timeLimit, "timeLimit");
  }
}
