package org.toucanrack.bench.layout;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.configuration.ConfigurationDirectory;

/**
 * The processes and addresses with which a declared deployment runs on one host: entry VMs, backend
 * servers and the platform stand-in. Immutable and thread-safe.
 */
public final class Layout {

  /** Port distance between deployments, so that those in {@link #DEPLOYMENT_NAMES} can coexist. */
  private static final int PORTS_PER_DEPLOYMENT = 500;

  private static final List<String> DEPLOYMENT_NAMES = List.of("kalahari", "saha");
  private static final int ENTRY_VM_COUNT = 8;
  private static final int FIRST_CALLERS_PORT = 18001;
  private static final int FIRST_OPERATORS_PORT = 18101;
  private static final int FIRST_PEERS_PORT = 18201;
  private static final int FIRST_PLATFORM_PORT = 19000;

  /** The customer to which requests on open routes are attributed. */
  public static final String ANONYMOUS = "anonymous";

  /** Name, location and addresses of one entry VM. */
  public record EntryVmSpec(
      String name,
      String region,
      String failureDomain,
      String callersAddress,
      String operatorsAddress,
      String peersAddress,
      String platformUrl) {}

  private final Deployment deployment;
  private final int portOffset;

  private Layout(Deployment deployment) {
    this.deployment = deployment;
    this.portOffset =
        Math.max(0, DEPLOYMENT_NAMES.indexOf(deployment.name())) * PORTS_PER_DEPLOYMENT;
  }

  /** Reads a declared deployment. */
  public static Layout read(Path directory) {
    return new Layout(ConfigurationDirectory.read(directory));
  }

  /** Returns the declared deployment. */
  public Deployment deployment() {
    return deployment;
  }

  /** Returns the entry VMs: one per failure domain, further ones in the regions' first domains. */
  public List<EntryVmSpec> entryVms() {
    List<FailureDomainId> domains = deployment.failureDomains();
    List<EntryVmSpec> entryVms = new ArrayList<>();
    for (int i = 0; i < ENTRY_VM_COUNT; i++) {
      // Additional VMs go to the first domain of each region in turn, which balances the regions.
      // Assumes two failure domains per region.
      int domainIndex = i < domains.size() ? i : (i - domains.size()) * 2 % domains.size();
      FailureDomainId domain = domains.get(domainIndex);
      entryVms.add(
          new EntryVmSpec(
              domain.value() + "-" + (i / domains.size() + 1),
              deployment.regionOf(domain).orElseThrow().value(),
              domain.value(),
              localAddress(FIRST_CALLERS_PORT + i),
              localAddress(FIRST_OPERATORS_PORT + i),
              localAddress(FIRST_PEERS_PORT + i),
              "http://" + domainPlatformAddress(domainIndex)));
    }
    return entryVms;
  }

  /**
   * Returns the addresses of the platform stand-in. The first one is for operators; each failure
   * domain has its own, so that the stand-in can refuse the clients of a single domain.
   */
  public List<String> platformAddresses() {
    List<String> addresses = new ArrayList<>(List.of(localAddress(FIRST_PLATFORM_PORT)));
    for (int i = 0; i < deployment.failureDomains().size(); i++) {
      addresses.add(domainPlatformAddress(i));
    }
    return addresses;
  }

  private String domainPlatformAddress(int domainIndex) {
    return localAddress(FIRST_PLATFORM_PORT + 1 + domainIndex);
  }

  /** Returns the backend servers by service, in declared order. */
  public Map<String, List<BackendServer>> serversByService() {
    return deployment.backendServers().stream()
        .collect(
            Collectors.groupingBy(
                server -> server.service().value(), LinkedHashMap::new, Collectors.toList()));
  }

  /** Returns the customers that have keys. */
  public List<Customer> keyedCustomers() {
    return deployment.customers().stream()
        .filter(customer -> !customer.id().value().equals(ANONYMOUS))
        .toList();
  }

  /** Returns the median service time of a service's backend servers in milliseconds. */
  public double medianServiceMillis(Service service) {
    boolean writes = service.routes().stream().anyMatch(route -> !route.idempotent());
    return writes ? 30 : 20;
  }

  /** Returns the {@code host:port} address of a backend server. */
  public static String address(BackendServer server) {
    return server.host() + ":" + server.port();
  }

  /** Returns one line per process, in the format that the start scripts parse. */
  public String describe() {
    StringBuilder lines = new StringBuilder();
    lines.append("platform ").append(String.join(",", platformAddresses())).append('\n');
    for (Service service : deployment.services()) {
      List<BackendServer> servers =
          serversByService().getOrDefault(service.id().value(), List.of());
      BackendServer first = servers.get(0);
      lines.append(
          "backend %s %s %d %d lognormal:%s:0.4%n"
              .formatted(
                  service.id().value(),
                  servers.stream().map(Layout::address).collect(Collectors.joining(",")),
                  first.slots(),
                  first.maxConnections(),
                  medianServiceMillis(service)));
    }
    for (EntryVmSpec entryVm : entryVms()) {
      lines.append(
          "entry %s %s %s %s %s %s %s%n"
              .formatted(
                  entryVm.name(),
                  entryVm.region(),
                  entryVm.failureDomain(),
                  entryVm.callersAddress(),
                  entryVm.operatorsAddress(),
                  entryVm.peersAddress(),
                  entryVm.platformUrl()));
    }
    keyedCustomers().forEach(c -> lines.append("customer ").append(c.id().value()).append('\n'));
    return lines.toString();
  }

  /** Returns the regions in declared order. */
  public List<Region> regions() {
    return deployment.regions();
  }

  private String localAddress(int port) {
    return "127.0.0.1:" + (port + portOffset);
  }
}
