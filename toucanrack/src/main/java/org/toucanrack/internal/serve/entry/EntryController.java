package org.toucanrack.internal.serve.entry;

import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.coordination.duty.UsageCounter;
import org.toucanrack.internal.coordination.steer.FleetSnapshot;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.DutyRow;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.TokenAsk;
import org.toucanrack.internal.protocol.generated.TokenLoan;
import org.toucanrack.internal.protocol.generated.UsageCounts;
import org.toucanrack.internal.serve.entry.TrafficBytes.Purpose;
import org.toucanrack.internal.state.shared.SharedTableReplica;
import org.toucanrack.internal.transport.relay.ConnectionPool;
import org.toucanrack.internal.transport.relay.TransferCounter;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.PlatformBinding;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;

/**
 * Keeps the rules, the backend servers and the membership up to date from the store and from
 * heartbeats, and publishes them to the traffic thread as immutable values. Confined to the control
 * thread.
 */
final class EntryController {

  /** Interval of log lines with transferred bytes; a killed process leaves out the last ones. */
  private static final long BYTES_REPORT_INTERVAL_MS = 10_000;

  private static final long TICK_MS = 250;

  /**
   * Tick interval while this VM is on standby; a takeover has to wait for the next heartbeat
   * anyway.
   */
  private static final long STANDBY_TICK_MS = 500;

  /**
   * Time for which a stopping VM may send requests to servers: those that it accepts last can wait
   * for a token of their customer's rate.
   */
  private static final Duration STOPPING_SEND_TIME =
      EntryNode.STOP_SERVING_TIME.plus(Duration.ofMillis(500));

  /** Callers repeat their look-up after this time, so they soon stop using a stopped VM. */
  private static final Duration LOOKUP_TTL = Duration.ofSeconds(2);

  private final NioReactor reactor;
  private final EntrySettings settings;
  private final PlatformBinding platform;
  private final SharedStore store;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final SharedTableReplica replica = new SharedTableReplica();
  private final MemberTable members;
  private final DecodedRows decodedRows;
  private final CarriedRows carriedRows;
  private final RowMerger rowMerger;
  private final RolloutCoordinator rollouts;
  private final MemberListing listing;
  private final RowCatchUp catchUp;
  private final ReportWriter reports;
  private final PeerView peerView;
  private final LookupReporter lookupReporter;
  private final StoreTables tables;
  private final PeerUpdates peerUpdates;
  private final RetainedServers retainedServers;
  private final Consumer<FleetSnapshot> snapshotConsumer;
  private final TokenLoans.LocalTokens localTokens;
  private final RetryReserveTransfers retryTransfers;
  private PeerLink link;
  private HeartbeatSender heartbeats;
  private final TokenLenders tokenLenders;
  private TokenLoans tokenLoans;
  private final ConnectionPool pool;
  private final Optional<UsageCounter> usageCounter;
  private Optional<UsageReporter> usageReporter = Optional.empty();
  private FleetSnapshot publishedSnapshot = FleetSnapshot.NONE;
  private boolean membersKnown;
  private boolean ready;
  private boolean leaving;
  private boolean dirty;

  EntryController(
      NioReactor reactor,
      EntrySettings settings,
      PlatformBinding platform,
      DecisionLog log,
      EntryMetrics metrics,
      ConnectionPool pool,
      Consumer<FleetSnapshot> snapshotConsumer,
      Consumer<PeerUpdate> peerUpdateConsumer,
      TokenLoans.LocalTokens localTokens,
      RetryReserveTransfers.LocalReserve localReserve,
      Optional<UsageCounter> usageCounter) {
    this.reactor = reactor;
    this.settings = settings;
    this.platform = platform;
    this.log = log;
    this.metrics = metrics;
    this.store = platform.openStore(reactor, pool.counting(counterOf(Purpose.STORE)));
    this.snapshotConsumer = snapshotConsumer;
    this.localTokens = localTokens;
    this.retryTransfers = new RetryReserveTransfers(localReserve);
    this.pool = pool;
    this.usageCounter = usageCounter;
    this.members = new MemberTable(settings.vm(), STOPPING_SEND_TIME);
    this.decodedRows = new DecodedRows(platform.rowCodec(), log);
    this.rollouts =
        new RolloutCoordinator(
            settings.bounds().rolloutShare(), platform.rowCodec(), store::time, log);
    this.reports =
        new ReportWriter(settings.vm(), store, platform.rowCodec(), replica, members, log);
    this.peerView = new PeerView(settings, members, log, now());
    this.lookupReporter = new LookupReporter(settings, members, log, metrics, now());
    this.tokenLenders = new TokenLenders(settings, members, new SplittableRandom());
    this.listing = new MemberListing(reactor, settings.vm(), store, replica, members, log);
    this.retainedServers = new RetainedServers(settings.bounds().settlingTime(), log);
    this.carriedRows = new CarriedRows(platform.rowCodec(), settings.bounds().settlingTime(), log);
    this.rowMerger =
        new RowMerger(
            replica,
            carriedRows,
            decodedRows,
            retainedServers,
            rollouts,
            listing,
            EntryController::now);
    this.tables =
        new StoreTables(
            reactor,
            store,
            replica,
            peerView,
            rowMerger,
            retainedServers,
            log,
            metrics,
            new StoreChanges());
    this.peerUpdates =
        new PeerUpdates(
            reactor,
            members,
            peerView,
            decodedRows,
            () -> heartbeats.ownClaims(),
            peerUpdateConsumer);
    this.catchUp =
        new RowCatchUp(
            reactor,
            settings,
            replica,
            peerView,
            pool.counting(
                address ->
                    metrics
                        .trafficBytes()
                        .counter(Purpose.ROWS, Purpose.ROWS, link.distance(address))),
            tables::restart,
            new FetchedRows(),
            log);
  }

  void start() {
    peerUpdates.setStarted(now());
    link = new PeerLink(reactor, settings, new Datagrams(), metrics.trafficBytes(), log);
    heartbeats = new HeartbeatSender(settings, replica, members, rollouts, link::send, now());
    usageReporter = openUsageReporter();
    usageReporter.ifPresent(reporter -> heartbeats.setUsageFields(reporter::addTo));
    tokenLoans =
        new TokenLoans(
            (datagram, to) -> link.send(Purpose.TOKEN_LOANS, datagram.toByteArray(), to),
            localTokens);
    tables.follow(SharedTable.ORDERS);
    tables.follow(SharedTable.SERVERS);
    register();
    tick();
    peerUpdates.settle();
    usageReporter.ifPresent(UsageReporter::start);
    reactor.delayBackground(BYTES_REPORT_INTERVAL_MS, this::reportBytes);
  }

  private void reportBytes() {
    log.event("traffic-bytes", metrics.trafficBytes().logFields());
    reactor.delayBackground(BYTES_REPORT_INTERVAL_MS, this::reportBytes);
  }

  /** Returns the counter of calls to the platform, whose distance is not known. */
  private TransferCounter.Source counterOf(Purpose purpose) {
    TransferCounter counter =
        metrics.trafficBytes().counter(purpose, purpose, TrafficDistance.UNKNOWN);
    return address -> counter;
  }

  private void register() {
    listing.start(
        () -> heartbeats.newHeartbeat(now()).build(),
        listed -> {
          tables.epochObserved(listed.epoch());
          rowMerger.replace(SharedTable.MEMBERS, listed);
          membersKnown = true;
          peerUpdates.setMembersListed();
          heartbeats.send(now());
          // The retry reserve can be used once the members are known; the next tick is 250 ms away.
          peerUpdates.publishWithoutDivision(now());
        });
  }

  /** Opens the usage reports; empty if the platform asks for none. */
  private Optional<UsageReporter> openUsageReporter() {
    return usageCounter.flatMap(
        counter ->
            platform
                .openUsageSink(reactor, pool.counting(counterOf(Purpose.USAGE)))
                .map(
                    sink ->
                        new UsageReporter(
                            reactor,
                            settings.vm(),
                            settings.usageReporting().orElseThrow(),
                            store,
                            sink,
                            members,
                            counter,
                            new UsageNetwork(),
                            log,
                            metrics)));
  }

  /** Sends the datagrams and heartbeats of the usage reports. */
  private final class UsageNetwork implements UsageReporter.Network {

    @Override
    public void send(byte[] datagram, InetSocketAddress target) {
      link.send(Purpose.USAGE, datagram, target);
    }

    @Override
    public void sendHeartbeat() {
      heartbeats.send(now());
    }
  }

  /** Merges rows that were fetched from another VM. */
  private final class FetchedRows implements RowCatchUp.Receiver {

    @Override
    public void epochObserved(StoreEpoch epoch, String vm) {
      tables.adoptEpoch(epoch, vm);
    }

    @Override
    public void merge(SharedRow row, StoreEpoch epoch) {
      rowMerger.merge(row, epoch);
    }

    @Override
    public void replace(SharedTable table, SharedStore.Rows rows) {
      rowMerger.replace(table, rows);
    }

    @Override
    public void adoptCarried(CarriedRows.Copy copy) {
      rowMerger.adoptCarried(copy);
    }

    @Override
    public List<CarriedRows.Copy> carriedRows() {
      return carriedRows.copies(now());
    }

    @Override
    public void allMerged() {
      publishIfChanged();
    }
  }

  RowExchange exchange() {
    return catchUp.exchange();
  }

  boolean isReady() {
    return ready && !leaving;
  }

  /** Announces to the other VMs that this one stops, so that callers are no longer sent to it. */
  void leave() {
    leaving = true;
    peerUpdates.setLeaving();
    // Marked first, so that no heartbeat tells the others that this VM is only on standby.
    heartbeats.markLeaving();
    refreshServing(now());
    heartbeats.send(now());
    listing.leave();
  }

  void close() {
    heartbeats.send(now());
    link.close();
  }

  /** Requests a token of a customer's rate from other VMs. */
  void requestTokens(CustomerId customer) {
    decodedRows.rules().stream()
        .flatMap(rules -> rules.customers().stream())
        .filter(rule -> rule.id().equals(customer))
        .findFirst()
        .ifPresentOrElse(
            rule -> tokenLoans.requestToken(customer, tokenLenders.lenders(rule, now())),
            () -> tokenLoans.requestToken(customer, List.of()));
  }

  /**
   * Updates the rate claims, the trial evidence and the request rate that the traffic thread
   * measured.
   */
  void updateTraffic(
      Map<CustomerId, RateShares.Claim> claims,
      Map<TrafficState.EvidenceKey, TrialEvidence> evidence,
      double requestsPerSecond) {
    boolean claimsChanged = !claims.equals(heartbeats.ownClaims());
    heartbeats.updateTraffic(claims, requestsPerSecond);
    if (claimsChanged && peerUpdates.isSettling(now())) {
      heartbeats.sendClaims(now());
    }
    peerView.updateOwnRequestsPerSecond(requestsPerSecond);
    rollouts.updateOwnEvidence(evidence);
  }

  /** Returns the VMs that a caller from this failure domain is sent to. */
  LookupAnswer vmsFor(Optional<FailureDomainId> caller) {
    long now = now();
    LookupAnswer answer = peerView.servingVms(caller, now);
    lookupReporter.record(caller, answer, isReady(), leaving, now);
    return answer;
  }

  /** Reacts to changes of the store's tables, availability and epoch. */
  private final class StoreChanges implements StoreTables.Listener {

    @Override
    public void rowsMerged() {
      publishIfChanged();
    }

    @Override
    public void reachabilityChanged() {
      updateStoreReachability();
    }

    @Override
    public void epochAdopted() {
      if (membersKnown && !leaving) {
        register();
        heartbeats.send(now());
      }
    }
  }

  private void tick() {
    try {
      runPeriodicTasks();
    } finally {
      // A fault in one run must not end the heartbeats of this VM.
      reactor.delayBackground(
          peerView.receivesUpdatesFromPeers(now()) ? STANDBY_TICK_MS : TICK_MS, this::tick);
    }
  }

  private void runPeriodicTasks() {
    long now = now();
    boolean judged = rollouts.judge(members.latestHeartbeats(now), now);
    dirty |= judged || !rollouts.trials(now).equals(publishedSnapshot.trials());
    dirty |= retainedServers.removeExpired(now);
    // Answers to writes and refusals of reads can also be the first ones of a later epoch.
    tables.epochObserved(store.epoch());
    rowMerger.removeExpired();
    publishIfChanged();
    reports.write(rollouts.unreported(now), now);
    refreshServing(now);
    tables.updateWatch(now);
    peerUpdates.publishIfDue(now);
    if (judged || heartbeats.isDue(now)) {
      heartbeats.send(now);
    }
    peerView.logChanges(now);
    listing.removeExpired(now);
  }

  private void publishIfChanged() {
    dirty |= rowMerger.takeChanged();
    if (!dirty) {
      return;
    }
    dirty = false;
    long now = now();
    rollouts.updateOrders(decodedRows.rollouts(), now);
    if (!decodedRows.rollouts().isEmpty()) {
      // Store calls cost money, and there are no reports before the first rollout.
      tables.follow(SharedTable.REPORTS);
    }
    List<AnnouncedServer> servers = decodedRows.servers();
    retainedServers.addTo(servers);
    final boolean rulesChanged = !decodedRows.rules().equals(publishedSnapshot.rules());
    publishedSnapshot =
        new FleetSnapshot(
            decodedRows.rules(), servers, decodedRows.evacuated(), rollouts.trials(now));
    ready = publishedSnapshot.rules().isPresent();
    heartbeats.setReady(ready);
    try {
      refreshServing(now);
    } finally {
      // Without it, requests would be handled by the earlier rules until the next change.
      snapshotConsumer.accept(publishedSnapshot);
    }
    boolean announcesRules = rulesChanged && !peerView.receivesUpdatesFromPeers(now);
    if (announcesRules || heartbeats.isDue(now)) {
      heartbeats.send(now);
    }
  }

  private void refreshServing(long now) {
    final boolean servedBefore = peerView.selfServing();
    peerView.refresh(isReady(), now);
    updateStoreReachability();
    heartbeats.updateServing(peerView.selfServing(), now);
    if (peerView.selfServing() && !servedBefore) {
      peerUpdates.publishNow(now);
    }
  }

  /** Reports the store as unreachable on standby, since a VM on standby does not call it. */
  private void updateStoreReachability() {
    heartbeats.setStoreReached(tables.isReached() && peerView.selfServing());
  }

  /** Passes the bodies of datagrams on. */
  private final class Datagrams implements PeerLink.Receiver {

    @Override
    public void heartbeatReceived(EntryHeartbeat heartbeat) {
      EntryController.this.heartbeatReceived(heartbeat);
    }

    @Override
    public void shortHeartbeatReceived(EntryHeartbeat heartbeat, InetSocketAddress sender) {
      members
          .latestOfRun(heartbeat.getIncarnation())
          .flatMap(earlier -> ShortHeartbeats.restore(heartbeat, earlier))
          .ifPresentOrElse(
              EntryController.this::heartbeatReceived,
              () -> heartbeats.requestWhole(heartbeat, sender, now()));
    }

    @Override
    public void loanRequested(TokenAsk ask, InetSocketAddress sender) {
      tokenLoans.loanRequested(ask, sender);
    }

    @Override
    public void loanReceived(TokenLoan loan) {
      tokenLoans.loanReceived(loan);
    }

    @Override
    public void countsReceived(UsageCounts counts) {
      usageReporter.ifPresent(reporter -> reporter.countsReceived(counts));
    }

    @Override
    public void dutyRowReceived(DutyRow row) {
      usageReporter.ifPresent(reporter -> reporter.copyReceived(row));
    }
  }

  private void heartbeatReceived(EntryHeartbeat heartbeat) {
    InetSocketAddress address = PeerAddresses.parse(heartbeat.getPeersAddress());
    long now = now();
    link.setDomain(address, heartbeat.getFailureDomain());
    tables.adoptEpoch(RowCatchUp.epochOf(heartbeat), heartbeat.getVm());
    boolean newlyAlive = members.recordHeartbeat(heartbeat, address, now);
    if (heartbeat.getNeedsWhole()) {
      heartbeats.replyWhole(heartbeat, address, now);
    } else if (newlyAlive) {
      heartbeats.reply(heartbeat, address, now);
    }
    rollouts.heartbeatReceived(heartbeat, now);
    catchUp.heartbeatReceived(heartbeat, address);
    retryTransfers.heartbeatReceived(
        heartbeat,
        () -> 1 + peerView.peers(leaving, now).alive().size(),
        parts -> heartbeats.sendRetryReserve(parts, address, now()));
    usageReporter.ifPresent(reporter -> reporter.heartbeatReceived(heartbeat));
  }

  private static long now() {
    return System.nanoTime();
  }

  /** Returns the time for which callers may cache an answer to a look-up. */
  Duration lookupTtl() {
    Duration maxTtl = settings.bounds().maxLookupTtl();
    return maxTtl.compareTo(LOOKUP_TTL) < 0 ? maxTtl : LOOKUP_TTL;
  }
}
