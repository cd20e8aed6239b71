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
 * One entry VM: control loop, traffic threads, operators' port and housekeeping.
 *
 * <pre>{@code
 * EntryVm.run(settings); // returns after a planned stop
 * }</pre>
 *
 * <p>Invariant: the parts are started once, in the order control, peers, traffic, operators, and
 * stopped in the opposite order. Thread-safe after construction.
 */
public final class EntryVm {

  private static final Logger LOGGER = System.getLogger(EntryVm.class.getName());

  /** Prefix of the records by which operators drain backend servers. */
  private static final String DRAINED_SERVERS = "drain/backend-server/";

  private final ServeSettings settings;
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final RequestMetrics metrics = new RequestMetrics(registry);
  private final HttpPlatform platform;
  private final NettyPeerTransport peers;
  private final ControlPlane control;
  private final ServiceDispatchers dispatchers;
  private final EscrowRateLimiter rateLimiter;
  private final Steering steering = new Steering(this::faultSeen);
  private final FaultNotices faultNotices;
  private final MoveDriver moves;
  private final RolloutDriver rollouts;
  private final TrafficServer traffic;
  private final Housekeeping housekeeping;
  private final SnapshotChanges changes = new SnapshotChanges();

  /** Wires all parts; nothing runs before {@link #start}. */
  EntryVm(ServeSettings settings) {
    this.settings = settings;
    Member self = describe(settings);
    platform = new HttpPlatform(settings.platform());
    peers =
        new NettyPeerTransport(
            new PeerSettings(self, settings.peersListen(), settings.peerSecret(), limits()));
    LongPredicate permits = now -> currentSnapshot().lease().permitsDispatch(now);
    dispatchers = new ServiceDispatchers(permits);
    PeerTokens tokens = new PeerTokens(peers, this::currentSnapshot);
    rateLimiter = new EscrowRateLimiter(tokens, System::nanoTime, permits);
    tokens.serve(rateLimiter, System::nanoTime);
    control = new ControlPlane(controlSettings(self), platform, peers);
    RecordWriter writer = new RecordWriter(control);
    moves = new MoveDriver(control, writer, dispatchers);
    rollouts = new RolloutDriver(writer, InstantSource.system());
    faultNotices = new FaultNotices(peers, this::currentSnapshot);
    faultNotices.listen(this::stopVersion);
    traffic = new TrafficServer(trafficSettings(), collaborators());
    traffic.whenBackendDrains(server -> dispatchers.announcedDrain(server, System.nanoTime()));
    housekeeping = new Housekeeping(settings, registry, statusReader(), this);
    control.onSnapshot(this::adopt);
  }

  /** Runs a VM until the process is told to stop, then stops it on plan. */
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
    awaitQuietly(stopped);
  }

  void start() {
    control.start();
    peers.listen();
    traffic.start();
    housekeeping.start();
    LOGGER.log(
        Level.INFO, "[serve] {0} listens for callers on {1}.", settings.vm(), traffic.address());
  }

  /** Stops on plan: hands over, goes on for the look-up time to live, then ends. */
  void stop() {
    LOGGER.log(Level.INFO, "[serve] {0} stops on plan.", settings.vm());
    new PlannedStop(control, traffic).run();
    housekeeping.close();
    peers.close();
    control.close();
    platform.close();
    LOGGER.log(Level.INFO, "[serve] {0} has stopped.", settings.vm());
  }

  ControlSnapshot currentSnapshot() {
    return control.snapshot();
  }

  ServiceDispatchers dispatchers() {
    return dispatchers;
  }

  /** Refuses what has waited too long. Called every few milliseconds. */
  void expire(long nowNanos) {
    dispatchers.expire(nowNanos);
    rateLimiter.expire(nowNanos);
  }

  /** Stops the use of a resource that is handed over; true when nothing uses it any more. */
  private boolean stopUse(ResourceId resource, long epoch) {
    return resource
        .rateShare(settings.failureDomain())
        .map(share -> !rateLimiter.usesShare(share.customer()))
        .orElseGet(() -> dispatchers.stop(resource, epoch, System.nanoTime()));
  }

  /** Carries moves and rollouts on. Called about once a second. */
  void advance(long nowNanos) {
    moves.run(nowNanos);
    rollouts.run(currentSnapshot(), control.records(RolloutDriver.PREFIX), nowNanos);
  }

  private void faultSeen(ServiceId service, VersionId version, String reason) {
    faultNotices
        .declared(service, version)
        .ifPresent(
            declared -> {
              faultNotices.send(declared, reason);
              rollouts.faultSeen(declared, reason);
            });
  }

  private void stopVersion(ServiceVersion version, String reason) {
    steering.versions().stop(version.service(), version.id());
    rollouts.faultSeen(version, reason);
  }

  private Optional<Deployment> deployment() {
    return control == null
        ? Optional.empty()
        : currentSnapshot().configuration().map(Configuration::deployment);
  }

  /** Runs on the control thread for each snapshot, several times a second. */
  private void adopt(ControlSnapshot snapshot) {
    long now = System.nanoTime();
    if (changes.resourcesChanged(snapshot)) {
      rateLimiter.update(snapshot, now);
    }
    Set<String> drained = drainedServers();
    if (changes.dispatchChanged(snapshot, drained)) {
      dispatchers.update(snapshot, drained, now);
    }
    snapshot
        .configuration()
        .ifPresent(configuration -> steering.update(configuration, snapshot, now));
    changes.adopted(snapshot, drained);
  }

  private Set<String> drainedServers() {
    return control.records(DRAINED_SERVERS).stream()
        .map(row -> row.key().substring(DRAINED_SERVERS.length()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private StatusReader statusReader() {
    return new StatusReader(this::currentSnapshot, dispatchers, metrics, System::nanoTime);
  }

  private ControlPlane.Settings controlSettings(Member self) {
    return new ControlPlane.Settings(
        self,
        settings.peers().stream().map(EntryVm::text).toList(),
        EntryVm::decode,
        this::stopUse,
        new OperatorParts(this::deployment),
        System::nanoTime);
  }

  private static Configuration decode(long version, byte[] body) {
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
        steering.versions(),
        steering.shifts(),
        peers,
        metrics,
        System::nanoTime);
  }

  private static PeerSettings.Limits limits() {
    return PeerSettings.Limits.standard();
  }

  private static Member describe(ServeSettings settings) {
    long number = 1 + new SecureRandom().nextLong(Long.MAX_VALUE - 1);
    return new Member(
        new Incarnation(settings.vm(), number),
        settings.failureDomain(),
        text(settings.callersAdvertise()),
        text(settings.peersAdvertise()),
        false);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
