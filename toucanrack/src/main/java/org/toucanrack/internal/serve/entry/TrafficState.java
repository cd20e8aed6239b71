package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.admission.PriorityMix;
import org.toucanrack.internal.coordination.admission.PriorityRanks;
import org.toucanrack.internal.coordination.admission.RequestPriority;
import org.toucanrack.internal.coordination.admission.ScarcityDecision;
import org.toucanrack.internal.coordination.steer.ColdStartLimiter;
import org.toucanrack.internal.coordination.steer.FleetSnapshot;
import org.toucanrack.internal.coordination.steer.RateShares;
import org.toucanrack.internal.coordination.steer.RetryReserve;
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
 * State and counters of the traffic thread. Confined to the traffic thread; the control thread
 * passes in immutable values.
 */
final class TrafficState {

  /** Window of the request rate that is sent to other VMs; shorter than most bursts. */
  private static final long REQUEST_RATE_WINDOW_SECONDS = 3;

  private final EntrySettings settings;
  private final SlidingWindowCounter requests =
      new SlidingWindowCounter(TimeUnit.SECONDS.toNanos(REQUEST_RATE_WINDOW_SECONDS));
  private final ServerTable table;
  private final ServerChooser chooser;
  private final RateShares rates;
  private final Map<String, ServiceSplit> splits = new HashMap<>();
  private final Map<ServiceId, SharedRetryBudget> retryBudgets = new HashMap<>();

  /** The part of the retry reserve of a service that has had no request yet. */
  private final RetryReserve unusedRetryReserve;

  private final Map<ServiceId, PriorityMix> priorityMixes = new HashMap<>();
  private final Map<ServiceId, ScarcityDecision> scarcity = new HashMap<>();
  private final Map<EvidenceKey, TrialEvidence> evidence = new HashMap<>();
  private FleetSnapshot snapshot = FleetSnapshot.NONE;
  private ColdStartLimiter.Peers peers = ColdStartLimiter.Peers.NONE;
  private Optional<RuleIndex> rules = Optional.empty();
  private Optional<PriorityRanks> priorityRanks = Optional.empty();

  /**
   * Key under which the evidence of a trial is counted.
   *
   * @param service the service on trial
   * @param route the route of the requests
   */
  record EvidenceKey(ServiceId service, String route) {}

  TrafficState(EntrySettings settings, long nowNanos) {
    this.settings = settings;
    this.table = new ServerTable(settings.regions());
    EntrySettings.Bounds bounds = settings.bounds();
    this.rates =
        new RateShares(bounds.rateReserve(), bounds.rateWindow(), new SplittableRandom(), nowNanos);
    this.unusedRetryReserve =
        new RetryReserve(bounds.retryBudgetReserve(), bounds.retryWindow(), nowNanos);
    ColdStartLimiter coldStartLimiter =
        new ColdStartLimiter(
            settings.vm(),
            settings.region(),
            bounds.coldOvershoot(),
            bounds.coldReserve(),
            nowNanos);
    this.chooser =
        new ServerChooser(
            table,
            coldStartLimiter,
            settings.failureDomain(),
            settings.regions(),
            bounds.maxRegionShift());
  }

  Optional<RuleIndex> rules() {
    return rules;
  }

  RateShares rates() {
    return rates;
  }

  /**
   * Adopts the rules, servers and trials that the control thread published. The evidence of trials
   * that have ended is dropped.
   */
  void adopt(FleetSnapshot newSnapshot, long nowNanos) {
    if (!newSnapshot.rules().equals(snapshot.rules())) {
      rules = newSnapshot.rules().map(RuleIndex::new);
      Optional<PriorityRanks> previousRanks = priorityRanks;
      priorityRanks = newSnapshot.rules().map(PriorityRanks::of);
      if (!priorityRanks.equals(previousRanks)) {
        // Counts by rank would be taken for those of other priorities.
        scarcity.clear();
      }
    }
    evidence
        .keySet()
        .removeIf(key -> !sameTrial(snapshot.trials(), newSnapshot.trials(), key.service()));
    snapshot = newSnapshot;
    rules.ifPresent(index -> table.update(newSnapshot, index, nowNanos));
  }

  /** Returns the distance of an announced server; unknown if none has the address. */
  TrafficDistance distanceOf(InetSocketAddress address) {
    return snapshot.servers().stream()
        .filter(server -> server.address().equals(address))
        .findFirst()
        .map(server -> TrafficDistance.to(server.failureDomain(), settings))
        .orElse(TrafficDistance.UNKNOWN);
  }

  private static boolean sameTrial(
      Map<ServiceId, VersionTrial> oldTrials,
      Map<ServiceId, VersionTrial> newTrials,
      ServiceId service) {
    VersionTrial before = oldTrials.get(service);
    VersionTrial after = newTrials.get(service);
    return before != null && after != null && before.to().equals(after.to());
  }

  /**
   * Adopts the other VMs and, if the update has them, rebalances the customers' rates by their
   * claims.
   */
  void adoptPeers(PeerUpdate update, long nowNanos) {
    peers = update.peers();
    chooser.setOwnDemand(update.demandShares());
    rates.setServing(peers.selfServing());
    rates.setMembersListed(update.membersListed());
    unusedRetryReserve.setSharers(update.retrySharers(), nowNanos);
    retryBudgets
        .values()
        .forEach(budget -> budget.reserve().setSharers(update.retrySharers(), nowNanos));
    List<CustomerRule> customers =
        rules.map(RuleIndex::rules).map(SteeringRules::customers).orElse(List.of());
    update
        .claims()
        .ifPresent(
            claims ->
                customers.forEach(
                    customer ->
                        rates.rebalance(
                            customer,
                            claims.getOrDefault(customer.id(), List.of()),
                            update.otherServingVms(),
                            nowNanos)));
  }

  /**
   * Takes a token of a customer's rate for another VM or for a waiting request; returns whether
   * there was one.
   */
  boolean takeToken(CustomerId customer, long nowNanos) {
    return rules
        .flatMap(index -> index.customer(customer))
        .map(rule -> rates.takeToken(rule, nowNanos))
        .orElse(false);
  }

  /** Returns the rank of a priority under the newest rules; 0 is the most urgent. */
  int priorityRank(RequestPriority priority) {
    return priorityRanks.map(ranks -> ranks.rank(priority)).orElse(0);
  }

  /**
   * Returns the decision on scarcity of a service. Empty if its routes have the same priority: such
   * services keep to the limits of each server.
   */
  Optional<ScarcityDecision> scarcity(ServiceId service, long nowNanos) {
    PriorityMix mix = priorityMixes.get(service);
    return mix != null && mix.isMixed()
        ? Optional.of(scarcity.computeIfAbsent(service, id -> new ScarcityDecision(nowNanos)))
        : Optional.empty();
  }

  /** Records a request of a route for a service. */
  void recordRequest(ServiceId service, RouteRule route, long nowNanos) {
    retryBudget(service).recordRequest(nowNanos);
    priorityMixes
        .computeIfAbsent(service, id -> new PriorityMix(nowNanos))
        .record(route.priority(), nowNanos);
  }

  /** Returns the level of a priority under the newest rules; 0 is the most urgent. */
  double priorityLevel(RequestPriority priority) {
    return priorityRanks.map(ranks -> ranks.level(priority)).orElse(0.0);
  }

  /** Returns the service that the next request of a route goes to. */
  ServiceId nextService(RouteRule route) {
    return splits
        .computeIfAbsent(route.name(), name -> new ServiceSplit())
        .next(route.destinations());
  }

  ServerChooser.Choice choose(ServerChooser.Attempt attempt, long nowNanos) {
    return chooser.choose(attempt, snapshot.trials(), peers, nowNanos);
  }

  /** Returns the share of a service's requests that this VM sends to other regions. */
  double overflowShare(ServiceId service) {
    return chooser.overflowShare(service);
  }

  /** Returns the share of a service's objects that leaves the failure domain, if by domain. */
  OptionalDouble domainOverflowShare(ServiceId service) {
    return chooser.domainOverflowShare(service);
  }

  SharedRetryBudget retryBudget(ServiceId service) {
    EntrySettings.Bounds bounds = settings.bounds();
    return retryBudgets.computeIfAbsent(
        service,
        id ->
            new SharedRetryBudget(
                bounds.retryBudgetRatio(),
                bounds.retryWindow(),
                new RetryReserve(unusedRetryReserve)));
  }

  /**
   * Takes a part of this VM's retry reserve of each service for another VM that has begun to serve.
   * If all serving VMs do so, the other one has about as much as each of them afterwards.
   *
   * @param parts the number of equal parts, of which one is taken
   */
  Map<ServiceId, Double> giveRetryReserve(int parts, long nowNanos) {
    Map<ServiceId, Double> given = new HashMap<>();
    rules.ifPresent(
        index ->
            index
                .rules()
                .services()
                .forEach(
                    service ->
                        given.put(
                            service.id(),
                            retryBudget(service.id()).reserve().give(parts, nowNanos))));
    given.values().removeIf(attempts -> attempts == 0);
    return given;
  }

  /** Adds parts of another VM's retry reserve to that of this VM; unknown services are ignored. */
  void receiveRetryReserve(Map<ServiceId, Double> received, long nowNanos) {
    received.forEach(
        (service, attempts) -> {
          if (rules.flatMap(index -> index.service(service)).isPresent()) {
            retryBudget(service).reserve().receive(attempts, nowNanos);
          }
        });
  }

  void countRequest(long nowNanos) {
    requests.record(nowNanos);
  }

  /** Returns the rate at which callers send requests to this VM, per second. */
  double requestsPerSecond(long nowNanos) {
    return requests.count(nowNanos) / (double) REQUEST_RATE_WINDOW_SECONDS;
  }

  /** Counts the result of an attempt; ignored if the service has no version on trial. */
  void countTrial(ServiceId service, String route, VersionId version, TrialEvidence.Result result) {
    VersionTrial trial = snapshot.trials().get(service);
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

  /** Returns a copy of this VM's claim of the rate of each customer with a limit. */
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
