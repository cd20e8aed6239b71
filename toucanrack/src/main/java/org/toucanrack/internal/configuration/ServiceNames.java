package org.toucanrack.internal.configuration;

import java.util.Map;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/**
 * The names that backend servers refer to.
 *
 * @param services names of all services
 * @param versions names of each service's versions
 */
record ServiceNames(Names<ServiceId> services, Map<ServiceId, Names<VersionId>> versions) {

  /** Returns the versions of a service; none for an unknown service. */
  Names<VersionId> versionsOf(ServiceId service) {
    return versions.getOrDefault(service, new Names<>("version of service '" + service + "'"));
  }
}
