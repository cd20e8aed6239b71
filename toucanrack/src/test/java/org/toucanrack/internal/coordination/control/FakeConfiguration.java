package org.toucanrack.internal.coordination.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Rules;
import org.toucanrack.configuration.Service;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Configurations whose body is the number of backend servers in each failure domain. */
final class FakeConfiguration {

  static final List<String> DOMAINS = List.of("alpha", "beta");
  static final long TIMEOUT_MILLIS = 3_000;

  private FakeConfiguration() {}

  static byte[] body(int servers) {
    return Integer.toString(servers).getBytes(StandardCharsets.UTF_8);
  }

  static Configuration decode(long version, byte[] body) {
    int servers = Integer.parseInt(new String(body, StandardCharsets.UTF_8));
    return new Configuration(version, deployment(servers, 2), List.of());
  }

  static Deployment deployment(int servers, int customers) {
    List<BackendServer> all = new ArrayList<>();
    for (String domain : DOMAINS) {
      for (int i = 0; i < servers; i++) {
        all.add(server(domain, i));
      }
    }
    List<Customer> declaredCustomers = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      declaredCustomers.add(new Customer(new CustomerId("customer-" + i), 10, 10, 1));
    }
    List<FailureDomainId> domains = DOMAINS.stream().map(FailureDomainId::new).toList();
    return new Deployment(
        "fake",
        List.of(new Region(new RegionId("north"), domains)),
        List.of(),
        List.of(service()),
        List.of(),
        all,
        declaredCustomers,
        new Rules(
            new ShiftRule(0.1, Duration.ofSeconds(10)),
            Duration.ofSeconds(10),
            Duration.ofSeconds(4)));
  }

  private static BackendServer server(String domain, int index) {
    return new BackendServer(
        new BackendServerId(domain + "-" + index),
        new ServiceId("shop"),
        new VersionId("v1"),
        new FailureDomainId(domain),
        "127.0.0.1",
        9000 + index,
        3,
        100);
  }

  private static Service service() {
    Route route =
        new Route(
            new RouteId("all"), Set.of(), "/", true, false, Duration.ofMillis(TIMEOUT_MILLIS), 100);
    return new Service(new ServiceId("shop"), List.of(route), 0.1, 10, false);
  }
}
