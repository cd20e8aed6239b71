package org.toucanrack.internal.transport.http;

import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
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
import org.toucanrack.internal.coordination.limit.RateDecision;
import org.toucanrack.internal.coordination.limit.RateLimiter;
import org.toucanrack.internal.coordination.move.ShiftGate;
import org.toucanrack.internal.coordination.rollout.VersionSelector;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.KeyFreshness;
import org.toucanrack.internal.state.LeaseView;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.state.Ownership;

/** One VM with the service {@code shop}, whose control state a test can change at any time. */
final class TrafficFixture implements AutoCloseable {

  static final String KEY = "opensesame";
  static final ServiceId SHOP = new ServiceId("shop");
  static final FailureDomainId LOCAL_DOMAIN = new FailureDomainId("fd1");
  static final FailureDomainId REMOTE_DOMAIN = new FailureDomainId("fd2");
  static final Incarnation SELF = new Incarnation(new VmId("vm1"), 7);
  static final Incarnation REMOTE_VM = new Incarnation(new VmId("vm2"), 8);

  /** Another VM in the failure domain of {@link #SELF}. */
  static final Incarnation LOCAL_DOMAIN_VM = new Incarnation(new VmId("vm3"), 9);

  static final VersionId STABLE = new VersionId("v1");
  static final VersionId CANDIDATE = new VersionId("v2");

  final AtomicReference<ControlSnapshot> snapshot = new AtomicReference<>();
  final FakePeers peers = new FakePeers();
  final FakeDispatcher dispatcher;
  final List<BackendServer> servers;
  volatile Duration timeout = Duration.ofSeconds(3);
  volatile VersionId selectedVersion = STABLE;
  TrafficServer server;

  private TrafficFixture(List<BackendServer> servers) {
    this.servers = servers;
    this.dispatcher =
        new FakeDispatcher(
            () -> servers.stream().filter(each -> each.version().equals(selectedVersion)).toList());
    publish(true);
  }

  static TrafficFixture start(RawBackend... backends) {
    return start(Duration.ofSeconds(3), backends);
  }

  static TrafficFixture start(Duration timeout, RawBackend... backends) {
    List<BackendServer> servers = new java.util.ArrayList<>();
    for (int i = 0; i < backends.length; i++) {
      servers.add(server("b" + i, LOCAL_DOMAIN, backends[i].port()));
    }
    return start(timeout, servers, settings());
  }

  static TrafficFixture start(
      Duration timeout, List<BackendServer> servers, TrafficSettings settings) {
    TrafficFixture fixture = new TrafficFixture(servers);
    fixture.timeout = timeout;
    fixture.publish(true);
    fixture.server = new TrafficServer(settings, fixture.collaborators());
    fixture.server.start();
    return fixture;
  }

  static TrafficSettings settings() {
    return TrafficSettings.of(new InetSocketAddress("127.0.0.1", 0), 2);
  }

  static BackendServer server(String id, FailureDomainId domain, int port) {
    return server(id, STABLE, domain, port);
  }

  static BackendServer server(String id, VersionId version, FailureDomainId domain, int port) {
    return new BackendServer(
        new BackendServerId(id), SHOP, version, domain, "127.0.0.1", port, 3, 100);
  }

  RawCaller caller() throws java.io.IOException {
    return new RawCaller(server.address());
  }

  static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: t\r\nX-Api-Key: " + KEY + "\r\n\r\n";
  }

  static String post(String target, String body) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: t\r\nX-Api-Key: "
        + KEY
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Publishes control state, with or without the granted key. */
  void publish(boolean keyGranted) {
    long now = System.nanoTime();
    publish(keyGranted, lease(now), new KeyFreshness(now + Duration.ofHours(1).toNanos()), false);
  }

  void publish(
      boolean keyGranted, LeaseView lease, KeyFreshness freshness, boolean serveKeyedWhenCutOff) {
    Member self = member(SELF, LOCAL_DOMAIN, "127.0.0.1:1001");
    Member other = member(REMOTE_VM, REMOTE_DOMAIN, "127.0.0.1:1002");
    Map<Incarnation, Member> members = new HashMap<>(Map.of(SELF, self, REMOTE_VM, other));
    if (selectedVersion.equals(CANDIDATE)) {
      members.put(LOCAL_DOMAIN_VM, member(LOCAL_DOMAIN_VM, LOCAL_DOMAIN, "127.0.0.1:1003"));
    }
    Map<BackendServerId, Incarnation> owners = new HashMap<>();
    servers.forEach(each -> owners.put(each.id(), owner(each)));
    snapshot.set(
        new ControlSnapshot(
            self,
            Optional.of(configuration(keyGranted, serveKeyedWhenCutOff)),
            members,
            new Ownership(owners, Map.of()),
            lease,
            freshness,
            List.of(),
            List.of(),
            true));
  }

  /**
   * While a candidate is selected, {@link #LOCAL_DOMAIN_VM} owns the local servers of the stable
   * version.
   */
  private Incarnation owner(BackendServer each) {
    if (!each.failureDomain().equals(LOCAL_DOMAIN)) {
      return REMOTE_VM;
    }
    return each.version().equals(selectedVersion) ? SELF : LOCAL_DOMAIN_VM;
  }

  /** Sends all requests to the candidate from now on. */
  void selectCandidate() {
    selectedVersion = CANDIDATE;
    publish(true);
  }

  static LeaseView lease(long now) {
    long hour = Duration.ofHours(1).toNanos();
    return new LeaseView(now + hour, false, now + hour);
  }

  private static Member member(Incarnation id, FailureDomainId domain, String address) {
    return new Member(id, domain, address, address, false);
  }

  private Configuration configuration(boolean keyGranted, boolean serveKeyedWhenCutOff) {
    CustomerId customer = new CustomerId("acme");
    Service shop =
        new Service(
            SHOP,
            List.of(
                route("read", "GET", "/", true, false),
                route("order", "POST", "/", false, false),
                route("open", "GET", "/open", true, true)),
            0.5,
            10,
            serveKeyedWhenCutOff);
    Deployment deployment =
        new Deployment(
            "test",
            List.of(
                new Region(new RegionId("r1"), List.of(LOCAL_DOMAIN)),
                new Region(new RegionId("r2"), List.of(REMOTE_DOMAIN))),
            List.of(),
            List.of(shop),
            List.of(
                new ServiceVersion(SHOP, STABLE, 1, Optional.empty()),
                new ServiceVersion(SHOP, CANDIDATE, 1, Optional.of(Instant.MAX))),
            servers,
            List.of(new Customer(customer, 1000, 1000, 1)),
            new Rules(
                new ShiftRule(0.5, Duration.ofSeconds(10)),
                Duration.ofSeconds(1),
                Duration.ofSeconds(4)));
    return new Configuration(
        1, deployment, keyGranted ? List.of(new Key("k", customer, sha256(KEY))) : List.of());
  }

  private Route route(String id, String method, String prefix, boolean idempotent, boolean open) {
    return new Route(new RouteId(id), Set.of(method), prefix, idempotent, open, timeout, 2_000_000);
  }

  private static String sha256(String text) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes()));
    } catch (java.security.NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private TrafficCollaborators collaborators() {
    return new TrafficCollaborators(
        snapshot::get,
        service -> dispatcher,
        new UnlimitedRate(),
        new SelectedVersion(),
        new UnlimitedShift(),
        peers,
        TrafficMetrics.NONE,
        System::nanoTime);
  }

  @Override
  public void close() {
    server.close();
  }

  private static final class UnlimitedRate implements RateLimiter {
    @Override
    public CompletionStage<RateDecision> acquire(CustomerId customer, long nowNanos) {
      return CompletableFuture.completedFuture(new RateDecision(true, 0));
    }
  }

  private final class SelectedVersion implements VersionSelector {
    @Override
    public VersionId select(ServiceId service, RouteId route, CustomerId customer, long nowNanos) {
      return selectedVersion;
    }

    @Override
    public void observe(Observation observation) {}
  }

  private static final class UnlimitedShift implements ShiftGate {
    @Override
    public void recordArrival(ServiceId service, long nowNanos) {}

    @Override
    public boolean tryShift(
        ServiceId service, FailureDomainId from, FailureDomainId to, long nowNanos) {
      return true;
    }
  }
}
