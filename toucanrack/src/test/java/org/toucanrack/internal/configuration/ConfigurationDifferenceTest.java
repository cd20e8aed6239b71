package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.id.CustomerId;

/** Guards against changes that 'plan' does not show. */
class ConfigurationDifferenceTest {

  private static final Deployment SAHA =
      ConfigurationDirectory.read(Path.of("..", "examples", "saha"));

  @Test
  void showsAddedRemovedAndChangedItems() {
    List<Customer> customers = new ArrayList<>(SAHA.customers());
    Customer changed = customers.remove(0);
    customers.remove(0);
    customers.add(new Customer(changed.id(), 150, changed.burst(), changed.weight()));
    customers.add(new Customer(new CustomerId("new"), 1, 6, 1));

    List<String> lines = ConfigurationDifference.between(Optional.of(SAHA), with(customers));

    assertEquals(
        List.of(
            "~ customers amman-central-schools: requestsPerSecond 300.0 -> 150.0",
            "+ customers new",
            "- customers zarqa-schools"),
        lines);
  }

  @Test
  void showsNothingForEqualDeployments() {
    assertEquals(
        List.of(), ConfigurationDifference.between(Optional.of(SAHA), with(SAHA.customers())));
  }

  private static Deployment with(List<Customer> customers) {
    return new Deployment(
        SAHA.name(),
        SAHA.regions(),
        SAHA.links(),
        SAHA.services(),
        SAHA.versions(),
        SAHA.backendServers(),
        customers,
        SAHA.rules());
  }
}
