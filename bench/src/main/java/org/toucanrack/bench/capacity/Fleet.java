package org.toucanrack.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Rules;
import org.toucanrack.configuration.Service;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.KeyFreshness;
import org.toucanrack.internal.state.LeaseView;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.state.Ownership;
import org.toucanrack.internal.state.RateShareId;
import org.toucanrack.internal.state.ResourceGrant;
import org.toucanrack.internal.state.UsableResources;

/**
 * A generated deployment of a given size with assigned resource owners. Deterministic: equal sizes
 * give equal deployments. Immutable and thread-safe.
 *
 * @param domains failure domains, spread over up to 14 regions
 * @param membersPerDomain entry VMs of each failure domain
 * @param services services with four routes each
 * @param servers backend servers, spread over services and failure domains
 * @param customers customers, each with one rate share in each failure domain
 * @param keys granted keys
 */
record Fleet(
    int domains, int membersPerDomain, int services, int servers, int customers, int keys) {

  private static final int MAX_REGIONS = 14;
  private static final int ROUTES_PER_SERVICE = 4;
  private static final long SEED = 1;
  private static final VersionId VERSION = new VersionId("v1");

  Configuration configuration() {
    Random random = new Random(SEED);
    return new Configuration(
        1,
        new Deployment(
            "capacity",
            regions(),
            List.of(),
            generate(services, Fleet::service),
            generate(services, i -> new ServiceVersion(serviceId(i), VERSION, 1, Optional.empty())),
            generate(servers, this::server),
            generate(customers, i -> new Customer(customerId(i), 100 + i % 900, 200, 1 + i % 3)),
            new Rules(
                new ShiftRule(0.1, Duration.ofSeconds(10)),
                Duration.ofSeconds(10),
                Duration.ofSeconds(4))),
        generate(keys, i -> new Key("key-" + i, customerId(i % customers), randomHash(random))));
  }

  private static <T> List<T> generate(int size, IntFunction<T> create) {
    return IntStream.range(0, size).mapToObj(create).toList();
  }

  private static String randomHash(Random random) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 4; i++) {
      text.append(String.format("%016x", random.nextLong()));
    }
    return text.toString();
  }

  private List<Region> regions() {
    Map<Integer, List<FailureDomainId>> byRegion = new TreeMap<>();
    for (int i = 0; i < domains; i++) {
      byRegion.computeIfAbsent(i % MAX_REGIONS, key -> new ArrayList<>()).add(domain(i));
    }
    return byRegion.entrySet().stream()
        .map(entry -> new Region(new RegionId("region-" + entry.getKey()), entry.getValue()))
        .toList();
  }

  private static Service service(int i) {
    List<Route> routes =
        generate(
            ROUTES_PER_SERVICE,
            r ->
                new Route(
                    new RouteId("route-" + r),
                    Set.of("GET", "POST"),
                    "/path-" + r,
                    r % 2 == 0,
                    false,
                    Duration.ofSeconds(2),
                    65_536));
    return new Service(serviceId(i), routes, 0.1, 256, false);
  }

  private BackendServer server(int i) {
    String host = "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255);
    return new BackendServer(
        serverId(i), serviceId(i % services), VERSION, domain(i % domains), host, 8080, 8, 350);
  }

  static FailureDomainId domain(int i) {
    return new FailureDomainId("region-" + i % MAX_REGIONS + "-fd-" + i / MAX_REGIONS);
  }

  static ServiceId serviceId(int i) {
    return new ServiceId("service-" + i);
  }

  static CustomerId customerId(int i) {
    return new CustomerId("customer-" + i);
  }

  static BackendServerId serverId(int i) {
    return new BackendServerId("server-" + i);
  }

  Member member(int domain, int index) {
    int number = domain * membersPerDomain + index;
    String host = "10.200." + (number >> 8) + "." + (number & 255) + ":";
    Incarnation incarnation =
        new Incarnation(new VmId("vm-" + number), 1 + new Random(number).nextLong(Long.MAX_VALUE));
    return new Member(incarnation, domain(domain), host + 8080, host + 8082, false);
  }

  /** Returns the VM for which snapshots are built; it owns resources of its failure domain. */
  Member self() {
    return member(0, 0);
  }

  private Member ownerIn(int domain, int resource) {
    return member(domain, resource % membersPerDomain);
  }

  ControlSnapshot snapshot() {
    Map<Incarnation, Member> members = new HashMap<>();
    Map<RateShareId, Incarnation> shareOwners = new HashMap<>();
    for (int d = 0; d < domains; d++) {
      for (int m = 0; m < membersPerDomain; m++) {
        Member member = member(d, m);
        members.put(member.incarnation(), member);
      }
      for (int c = 0; c < customers; c++) {
        shareOwners.put(new RateShareId(customerId(c), domain(d), 0), ownerIn(d, c).incarnation());
      }
    }
    Map<BackendServerId, Incarnation> serverOwners = new HashMap<>();
    for (int s = 0; s < servers; s++) {
      serverOwners.put(serverId(s), ownerIn(s % domains, s / domains).incarnation());
    }
    long now = System.nanoTime();
    return new ControlSnapshot(
        self(),
        Optional.of(configuration()),
        members,
        new Ownership(serverOwners, shareOwners),
        new LeaseView(now + 10_000_000_000L, false, now),
        new KeyFreshness(now),
        List.of(),
        List.of(),
        true,
        ownedResources(shareOwners));
  }

  private UsableResources ownedResources(Map<RateShareId, Incarnation> shareOwners) {
    Map<RateShareId, ResourceGrant> grants = new HashMap<>();
    shareOwners.forEach(
        (share, owner) -> {
          if (owner.equals(self().incarnation())) {
            grants.put(share, new ResourceGrant(1, 0));
          }
        });
    return new UsableResources(Map.of(), grants);
  }

  /** Returns the row of a failure domain as its relay writes it with all resources assigned. */
  DomainRow row(int domain) {
    Map<Incarnation, RowMember> members = new HashMap<>();
    for (int m = 0; m < membersPerDomain; m++) {
      Member member = member(domain, m);
      members.put(member.incarnation(), new RowMember(member, 86_400 + m, 3_400));
    }
    SortedMap<ResourceId, ResourceAssignment> assignments = new TreeMap<>();
    for (int s = domain; s < servers; s += domains) {
      assignments.put(ResourceId.of(serverId(s)), assignment(domain, s / domains, 6_000));
    }
    for (int c = 0; c < customers; c++) {
      assignments.put(ResourceId.of(customerId(c), 0), assignment(domain, c, 4_000));
    }
    return new DomainRow(
        domain(domain), 1_000, 5_000, 3_400, "row-4b1d2a7c9e3f5a61-86400", members, assignments);
  }

  private ResourceAssignment assignment(int domain, int resource, long quarantineMillis) {
    Incarnation owner = ownerIn(domain, resource).incarnation();
    return new ResourceAssignment(Optional.of(owner), 1_000 + resource, quarantineMillis, false);
  }
}
