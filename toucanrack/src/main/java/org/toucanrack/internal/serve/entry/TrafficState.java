package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.FleetSnapshot;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.RuleIndex;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerTable;
import org.toucanrack.internal.coordination.steer.ServiceSplit;
import org.toucanrack.internal.coordination.steer.SharedRetryBudget;
import org.toucanrack.internal.coordination.steer.SlidingWindowCounter;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.coordination.steer.VersionTrial;
import org.toucanrack.steering.CustomerRule;
import org.toucanrack.steering.EntrySettings;
import org.toucanrack.steering.RouteRule;
import org.toucanrack.steering.SteeringRules;

/**
 * All that the traffic thread knows and counts. Confined to the traffic thread; the control thread
 * hands over immutable facts.
 */
final class TrafficState {

  /** Window of the load that is told to other VMs; shorter than most bursts. */
  private static final long LOAD_WINDOW_SECONDS = 3;

  private final EntrySettings settings;
  private final SlidingWindowCounter requests =
      new SlidingWindowCounter(TimeUnit.SECONDS.toNanos(LOAD_WINDOW_SECONDS));
  private final ServerTable table;
  private final ServerChooser chooser;
  private final RateShares rates;
  private final Map<String, ServiceSplit> splits = new HashMap<>();
  private final Map<ServiceId, SharedRetryBudget> retries = new HashMap<>();
  private final Map<EvidenceKey, TrialEvidence> evidence = new HashMap<>();
  private FleetSnapshot facts = FleetSnapshot.NONE;
  private ColdStartLimiter.Peers peers = ColdStartLimiter.Peers.NONE;
  private Optional<RuleIndex> rules = Optional.empty();

  /**
   * Names the answers that are counted together.
   *
   * @param service the service on trial
   * @param route the route of the requests
   */
  record EvidenceKey(ServiceId service, String route) {}

  TrafficState(EntrySettings settings, long nowNanos) {
    this.settings = settings;
    this.table = new ServerTable(settings.regions());
    EntrySettings.Bounds bounds = settings.bounds();
    this.rates = new RateShares(bounds.rateReserve());
    ColdStartLimiter guard =
        new ColdStartLimiter(
            settings.vm(),
            settings.region(),
            bounds.coldOvershoot(),
            bounds.coldReserve(),
            nowNanos);
    this.chooser =
        new ServerChooser(
            table, guard, settings.region(), settings.regionCount(), bounds.maxRegionShift());
  }

  Optional<RuleIndex> rules() {
    return rules;
  }

  RateShares rates() {
    return rates;
  }

  /** Takes over what the control thread published. */
  void adopt(FleetSnapshot newest, long nowNanos) {
    if (!newest.rules().equals(facts.rules())) {
      rules = newest.rules().map(RuleIndex::new);
    }
    evidence.keySet().removeIf(key -> !sameTrial(facts.trials(), newest.trials(), key.service()));
    facts = newest;
    rules.ifPresent(index -> table.update(newest, index, nowNanos));
  }

  private static boolean sameTrial(
      Map<ServiceId, VersionTrial> old, Map<ServiceId, VersionTrial> newest, ServiceId service) {
    VersionTrial before = old.get(service);
    VersionTrial now = newest.get(service);
    return before != null && now != null && before.to().equals(now.to());
  }

  /** Takes over the other VMs and, if they are due, their claims of the customers' rates. */
  void adoptPeers(PeerNews news, long nowNanos) {
    peers = news.peers();
    chooser.setOwnDemand(news.ownDemand());
    rates.setServing(peers.selfServing());
    List<CustomerRule> customers =
        rules.map(RuleIndex::rules).map(SteeringRules::customers).orElse(List.of());
    news.claims()
        .ifPresent(
            told ->
                customers.forEach(
                    customer ->
                        rates.rebalance(
                            customer,
                            told.getOrDefault(customer.id(), List.of()),
                            news.otherServing(),
                            nowNanos)));
  }

  /** Gives a token of a customer to another VM, if there is one. */
  boolean lend(CustomerId customer, long nowNanos) {
    return rules
        .flatMap(index -> index.customer(customer))
        .map(rule -> rates.lend(rule, nowNanos))
        .orElse(false);
  }

  /** Returns the service that the next request of a route goes to. */
  ServiceId nextService(RouteRule route) {
    return splits
        .computeIfAbsent(route.name(), name -> new ServiceSplit())
        .next(route.destinations());
  }

  ServerChooser.Choice choose(ServerChooser.Attempt attempt, long nowNanos) {
    return chooser.choose(attempt, facts.trials(), peers, nowNanos);
  }

  /** Returns the share of a service's requests that this VM sends to other regions. */
  double shareAway(ServiceId service) {
    return chooser.overflowShare(service);
  }

  SharedRetryBudget retries(ServiceId service) {
    EntrySettings.Bounds bounds = settings.bounds();
    return retries.computeIfAbsent(
        service,
        id ->
            new SharedRetryBudget(
                bounds.retryRatio(), bounds.retryReserve(), bounds.retryWindow()));
  }

  /** Returns the number of VMs that share what is bounded over all of them. */
  int vms() {
    return 1 + peers.alive().size() + peers.suspectedCount();
  }

  /** Counts a request of a caller. */
  void request(long nowNanos) {
    requests.record(nowNanos);
  }

  /** Returns the requests a second that callers send to this VM. */
  double requestsPerSecond(long nowNanos) {
    return requests.count(nowNanos) / (double) LOAD_WINDOW_SECONDS;
  }

  /** Counts an attempt at a service that has a version on trial. */
  void countTrial(ServiceId service, String route, VersionId version, TrialEvidence.Result result) {
    VersionTrial trial = facts.trials().get(service);
    if (trial != null) {
      evidence.merge(
          new EvidenceKey(service, route),
          TrialEvidence.of(version.equals(trial.to()), result),
          TrialEvidence::plus);
    }
  }

  /** Returns a copy of the evidence of all trials. */
  Map<EvidenceKey, TrialEvidence> evidence() {
    return Map.copyOf(evidence);
  }

  /** Returns a copy of what this VM claims of each customer's rate. */
  Map<CustomerId, RateShares.Claim> claims() {
    Map<CustomerId, RateShares.Claim> claims = new HashMap<>();
    rules.ifPresent(
        index ->
            index.rules().customers().stream()
                .filter(CustomerRule::isLimited)
                .forEach(customer -> claims.put(customer.id(), rates.claim(customer.id()))));
    return claims;
  }
}
