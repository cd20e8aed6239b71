package org.toucanrack.configuration;

import java.time.Instant;
import java.util.Optional;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * A declared backend server version of a service. Immutable and thread-safe.
 *
 * @param service the service
 * @param id the version
 * @param declaration a number that the operator increases to roll out the same version again
 * @param carryBy the deadline for the version to receive all traffic; empty for the version that
 *     receives it now
 */
public record ServiceVersion(
    ServiceId service, VersionId id, int declaration, Optional<Instant> carryBy) {

  /** Returns whether this version is to be rolled out. */
  public boolean isCandidate() {
    return carryBy.isPresent();
  }
}
