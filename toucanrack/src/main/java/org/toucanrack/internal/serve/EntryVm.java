package org.toucanrack.internal.serve;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.configuration.ConfigurationCodec;
import org.toucanrack.internal.coordination.control.ControlPlane;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.limit.EscrowRateLimiter;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.http.TrafficCollaborators;
import org.toucanrack.internal.transport.http.TrafficServer;
import org.toucanrack.internal.transport.http.TrafficSettings;
import org.toucanrack.internal.transport.peer.NettyPeerTransport;
import org.toucanrack.internal.transport.peer.PeerSettings;
import org.toucanrack.internal.transport.platform.HttpPlatform;

/**
 * Runs one entry VM: control loop, traffic threads, operators' port and housekeeping.
 *
 * <pre>{@code
 * EntryVm.run(settings); // blocks until a planned stop has completed
 * }</pre>
 *
 * <p>Invariant: each component is started once, in the order control, peers, traffic, housekeeping.
 * A planned stop first hands over resources and drains traffic, then closes the remaining
 * components. Thread-safe after construction.
 */
public final class EntryVm {

  private static final Logger LOGGER = System.getLogger(EntryVm.class.getName());

  /** Key prefix of the records with which operators drain backend servers. */
  private static final String SERVER_DRAIN_PREFIX = "drain/backend-server/";

  private final ServeSettings settings;
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final RequestMetrics metrics = new RequestMetrics(registry);
  private final HttpPlatform platform;
  private final NettyPeerTransport peers;
  private final ControlPlane control;
  private final ServiceDispatchers dispatchers;
  private final EscrowRateLimiter rateLimiter;
  private final Steering steering = new Steering(this::onVersionFault);
  private final FaultNotices faultNotices;
  private final MoveDriver moveDriver;
  private final RolloutDriver rolloutDriver;
  private final TrafficServer traffic;
  private final Housekeeping housekeeping;
  private final SnapshotChanges snapshotChanges = new SnapshotChanges();

  /** Creates and connects all components; they start in {@link #start}. */
  EntryVm(ServeSettings settings) {
    this.settings = settings;
    Member self = newMember(settings);
    platform = new HttpPlatform(settings.platformAddresses());
    peers =
        new NettyPeerTransport(
            new PeerSettings(self, settings.peersListen(), settings.peerSecret(), limits()));
    LongPredicate permitsDispatch = now -> currentSnapshot().lease().permitsDispatch(now);
    dispatchers = new ServiceDispatchers(permitsDispatch);
    PeerTokenExchange tokens = new PeerTokenExchange(peers, this::currentSnapshot);
    rateLimiter = new EscrowRateLimiter(tokens, System::nanoTime, permitsDispatch);
    tokens.answerTokenRequests(rateLimiter, System::nanoTime);
    control = new ControlPlane(controlSettings(self), platform, peers);
    RecordWriter writer = new RecordWriter(control);
    moveDriver = new MoveDriver(control, writer, dispatchers);
    rolloutDriver = new RolloutDriver(writer, InstantSource.system());
    faultNotices = new FaultNotices(peers, this::currentSnapshot);
    faultNotices.onNotice(this::stopVersion);
    traffic = new TrafficServer(trafficSettings(), collaborators());
    traffic.onBackendDrainAnnounced(
        server -> dispatchers.onDrainAnnounced(server, System.nanoTime()));
    housekeeping = new Housekeeping(settings, registry, statusReader(), this);
    control.onSnapshot(this::adopt);
  }

  /** Runs a VM until the process is asked to terminate, then performs a planned stop. */
  public static void run(ServeSettings settings) {
    EntryVm vm = new EntryVm(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  vm.stop();
                  stopped.countDown();
                },
                "planned-stop"));
    vm.start();
    await(stopped);
  }

  void start() {
    control.start();
    peers.listen();
    traffic.start();
    housekeeping.start();
    LOGGER.log(
        Level.INFO, "[serve] VM {0} listens for callers on {1}.", settings.vm(), traffic.address());
  }

  /**
   * Performs a planned stop: hands over resources, keeps serving for the time to live of cached
   * look-ups, then closes all components.
   */
  void stop() {
    LOGGER.log(Level.INFO, "[serve] VM {0} starts a planned stop.", settings.vm());
    new PlannedStop(control, traffic).run();
    housekeeping.close();
    peers.close();
    control.close();
    platform.close();
    LOGGER.log(Level.INFO, "[serve] VM {0} has stopped.", settings.vm());
  }

  ControlSnapshot currentSnapshot() {
    return control.snapshot();
  }

  ServiceDispatchers dispatchers() {
    return dispatchers;
  }

  /** Refuses requests that have waited past their deadline. Called every 10 ms. */
  void expire(long nowNanos) {
    dispatchers.expire(nowNanos);
    rateLimiter.expire(nowNanos);
  }

  /**
   * Stops using a resource that is handed over; returns whether it is no longer in use. For a rate
   * share, this only checks whether the rate limiter still uses it.
   */
  private boolean drainResource(ResourceId resource, long epoch) {
    return resource
        .rateShare(settings.failureDomain())
        .map(share -> !rateLimiter.usesShare(share.customer()))
        .orElseGet(() -> dispatchers.stop(resource, epoch, System.nanoTime()));
  }

  /** Plans the next steps of moves and rollouts. Called about once a second. */
  void advance(long nowNanos) {
    moveDriver.run(nowNanos);
    rolloutDriver.run(currentSnapshot(), control.records(RolloutDriver.KEY_PREFIX), nowNanos);
  }

  private void onVersionFault(ServiceId service, VersionId version, String reason) {
    faultNotices
        .findDeclaration(service, version)
        .ifPresent(
            declaration -> {
              faultNotices.broadcast(declaration, reason);
              rolloutDriver.addFault(declaration, reason);
            });
  }

  private void stopVersion(ServiceVersion version, String reason) {
    steering.versionSelector().stop(version.service(), version.id());
    rolloutDriver.addFault(version, reason);
  }

  private Optional<Deployment> deployment() {
    return control == null
        ? Optional.empty()
        : currentSnapshot().configuration().map(Configuration::deployment);
  }

  /** Applies a snapshot. Called on the control thread several times a second. */
  private void adopt(ControlSnapshot snapshot) {
    long now = System.nanoTime();
    if (snapshotChanges.resourcesChanged(snapshot)) {
      rateLimiter.update(snapshot, now);
    }
    Set<String> drained = drainedServers();
    if (snapshotChanges.dispatchingChanged(snapshot, drained)) {
      dispatchers.update(snapshot, drained, now);
    }
    snapshot
        .configuration()
        .ifPresent(configuration -> steering.update(configuration, snapshot, now));
    snapshotChanges.recordAdopted(snapshot, drained);
  }

  private Set<String> drainedServers() {
    return control.records(SERVER_DRAIN_PREFIX).stream()
        .map(row -> row.key().substring(SERVER_DRAIN_PREFIX.length()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private StatusReader statusReader() {
    return new StatusReader(this::currentSnapshot, dispatchers, metrics, System::nanoTime);
  }

  private ControlPlane.Settings controlSettings(Member self) {
    return new ControlPlane.Settings(
        self,
        settings.seedPeers().stream().map(EntryVm::hostAndPort).toList(),
        EntryVm::decodeConfiguration,
        this::drainResource,
        new DeploymentRecordDecoder(this::deployment),
        System::nanoTime);
  }

  private static Configuration decodeConfiguration(long version, byte[] body) {
    return ConfigurationCodec.decode(body);
  }

  private TrafficSettings trafficSettings() {
    return TrafficSettings.of(settings.callersListen(), settings.trafficThreads());
  }

  private TrafficCollaborators collaborators() {
    return new TrafficCollaborators(
        this::currentSnapshot,
        dispatchers::find,
        rateLimiter,
        steering.versionSelector(),
        steering.shiftGate(),
        peers,
        metrics,
        System::nanoTime);
  }

  private static PeerSettings.Limits limits() {
    return PeerSettings.Limits.standard();
  }

  private static Member newMember(ServeSettings settings) {
    long incarnationNumber = 1 + new SecureRandom().nextLong(Long.MAX_VALUE - 1);
    return new Member(
        new Incarnation(settings.vm(), incarnationNumber),
        settings.failureDomain(),
        hostAndPort(settings.callersAdvertise()),
        hostAndPort(settings.peersAdvertise()),
        false);
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
