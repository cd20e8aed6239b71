package org.toucanrack.internal.configuration;

import java.util.Map;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * The names of services and versions, to which backend servers refer. Not thread-safe.
 *
 * @param services names of all services
 * @param versions names of each service's versions
 */
record ServiceNames(
    DeclaredNames<ServiceId> services, Map<ServiceId, DeclaredNames<VersionId>> versions) {

  /** Returns the versions of a service; none for an unknown service. */
  DeclaredNames<VersionId> versionsOf(ServiceId service) {
    return versions.getOrDefault(
        service, new DeclaredNames<>("version of service '" + service + "'"));
  }
}
