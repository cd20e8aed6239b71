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
 * @param declaration a number that the operator raises to declare a version anew
 * @param carryBy when the version has to carry all traffic; empty for the version that carries it
 *     now
 */
public record ServiceVersion(
    ServiceId service, VersionId id, int declaration, Optional<Instant> carryBy) {

  /** Returns whether the version is being rolled out. */
  public boolean isCandidate() {
    return carryBy.isPresent();
  }
}
