package org.toucanrack.configuration;

import java.util.List;
import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;

/**
 * Everything that operators declare, except keys. Immutable and thread-safe.
 *
 * @param name the name of the deployment
 * @param regions the regions with their failure domains
 * @param links the links between regions with their capacities
 * @param services the services with their routes
 * @param versions the backend server versions of each service
 * @param backendServers all backend servers
 * @param customers all customers
 * @param rules the rules for the whole deployment
 */
public record Deployment(
    String name,
    List<Region> regions,
    List<RegionLink> links,
    List<Service> services,
    List<ServiceVersion> versions,
    List<BackendServer> backendServers,
    List<Customer> customers,
    Rules rules) {

  /** Copies all lists. */
  public Deployment {
    regions = List.copyOf(regions);
    links = List.copyOf(links);
    services = List.copyOf(services);
    versions = List.copyOf(versions);
    backendServers = List.copyOf(backendServers);
    customers = List.copyOf(customers);
  }

  /** Returns the service with this id. */
  public Optional<Service> service(ServiceId id) {
    return services.stream().filter(service -> service.id().equals(id)).findFirst();
  }

  /** Returns the customer with this id. */
  public Optional<Customer> customer(CustomerId id) {
    return customers.stream().filter(customer -> customer.id().equals(id)).findFirst();
  }

  /** Returns the backend server with this id. */
  public Optional<BackendServer> backendServer(BackendServerId id) {
    return backendServers.stream().filter(server -> server.id().equals(id)).findFirst();
  }

  /** Returns the region of a failure domain. */
  public Optional<RegionId> regionOf(FailureDomainId domain) {
    return regions.stream()
        .filter(region -> region.failureDomains().contains(domain))
        .map(Region::id)
        .findFirst();
  }

  /** Returns all failure domains, in the order of their declaration. */
  public List<FailureDomainId> failureDomains() {
    return regions.stream().flatMap(region -> region.failureDomains().stream()).toList();
  }
}
