package org.toucanrack.internal.coordination.lease;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.FailureDomainId;

/**
 * The resources that a configuration declares for one failure domain. Immutable and thread-safe.
 *
 * @param configurationVersion version of the configuration
 * @param quarantineMillis for each resource, the time for which a new owner must not use it after
 *     the loss of the previous owner
 */
public record ResourceCatalog(
    long configurationVersion, SortedMap<ResourceId, Long> quarantineMillis) {

  /**
   * Added to the longest request deadline. A holder in isolated mode stops using its resources
   * within this time after another VM of its failure domain reaches the store (3 s maximum age of
   * evidence plus a timeout of 1 s).
   */
  public static final long ISOLATION_END_MILLIS = 4_000;

  /** Copies the map. */
  public ResourceCatalog {
    quarantineMillis = Collections.unmodifiableSortedMap(new TreeMap<>(quarantineMillis));
  }

  /** Returns the resources of one failure domain. */
  public static ResourceCatalog of(Configuration configuration, FailureDomainId domain) {
    SortedMap<ResourceId, Long> resources = new TreeMap<>();
    configuration.deployment().backendServers().stream()
        .filter(server -> server.failureDomain().equals(domain))
        .forEach(
            server -> {
              long deadlineMillis =
                  configuration
                      .deployment()
                      .service(server.service())
                      .map(Service::longestTimeoutMillis)
                      .orElse(0L);
              resources.put(ResourceId.of(server.id()), deadlineMillis + ISOLATION_END_MILLIS);
            });
    configuration
        .deployment()
        .customers()
        .forEach(customer -> resources.put(ResourceId.of(customer.id(), 0), ISOLATION_END_MILLIS));
    return new ResourceCatalog(configuration.version(), resources);
  }
}
