package org.toucanrack.internal.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.RateShareId;

/** Splits declared rates into one share per failure domain. Stateless and thread-safe. */
final class CustomerShares {

  private CustomerShares() {}

  static Map<CustomerId, CustomerShare> of(ControlSnapshot snapshot) {
    Map<CustomerId, CustomerShare> shares = new HashMap<>();
    if (snapshot.configuration().isPresent()) {
      Deployment deployment = snapshot.configuration().get().deployment();
      List<FailureDomainId> domains = ownDomainFirst(deployment, snapshot);
      deployment
          .customers()
          .forEach(customer -> shares.put(customer.id(), share(customer, domains, snapshot)));
    }
    return shares;
  }

  private static CustomerShare share(
      Customer customer, List<FailureDomainId> domains, ControlSnapshot snapshot) {
    boolean ownsShare = false;
    Set<Incarnation> lenders = new LinkedHashSet<>();
    for (FailureDomainId domain : domains) {
      RateShareId id = new RateShareId(customer.id(), domain, 0);
      Incarnation owner = snapshot.ownership().rateShares().get(id);
      if (snapshot.self().incarnation().equals(owner)) {
        // A share that is being handed over is owned but no longer usable.
        ownsShare = snapshot.usable().rateShares().containsKey(id);
      } else if (owner != null) {
        lenders.add(owner);
      }
    }
    return new CustomerShare(
        customer.requestsPerSecond() / domains.size(),
        customer.burst() / domains.size(),
        ownsShare,
        new ArrayList<>(lenders));
  }

  private static List<FailureDomainId> ownDomainFirst(
      Deployment deployment, ControlSnapshot snapshot) {
    Set<FailureDomainId> domains = new LinkedHashSet<>();
    domains.add(snapshot.self().failureDomain());
    domains.addAll(deployment.failureDomains());
    domains.retainAll(deployment.failureDomains());
    return List.copyOf(domains);
  }
}
