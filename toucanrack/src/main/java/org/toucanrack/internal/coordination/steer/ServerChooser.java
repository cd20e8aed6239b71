package org.toucanrack.internal.coordination.steer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.admission.WaitLimit;
import org.toucanrack.internal.coordination.placement.AreaLoad;
import org.toucanrack.internal.coordination.placement.DemandShares;
import org.toucanrack.internal.coordination.placement.DomainPlacement;
import org.toucanrack.internal.coordination.placement.OverflowShare;
import org.toucanrack.steering.ServiceRule;

/**
 * Chooses the backend server of an attempt.
 *
 * <p>Selects the version first, then the region: the own one, except for the objects that overflow
 * because the region has too few servers. Within the own region, {@link DomainPlacement} selects
 * the failure domain. {@link AffinityChooser} chooses among the servers that remain. Not
 * thread-safe.
 */
public final class ServerChooser {

  /** Share of a service's requests that may leave the region immediately if it has no capacity. */
  private static final double FALLBACK_SHARE = 0.04;

  /** Largest burst of requests that leave the region for lack of capacity. */
  private static final double MAX_FALLBACK_CREDIT = 2;

  /** Lower bound on the part of all requests that a region is assumed to have. */
  private static final double MIN_DEMAND_FRACTION = 0.01;

  /**
   * Makes the selection of the objects that leave the region independent of the servers' rendezvous
   * scores.
   */
  private static final long REGION_SALT = 0x5deece66dL;

  /** Makes the selection of the objects that leave the failure domain independent of the others. */
  private static final long DOMAIN_SALT = 0x2545f4914f6cdd1dL;

  private final ServerTable table;
  private final ServerEligibility eligibility;
  private final FailureDomainId domain;
  private final RegionId region;
  private final double maxRegionShift;
  private final DomainPlacement domainPlacement;
  private final Map<ServiceId, OverflowShare> overflows = new HashMap<>();
  private final Map<ServiceId, Double> trialCredits = new HashMap<>();
  private final Map<ServiceId, Double> fallbackCredits = new HashMap<>();
  private double ownDemandFraction;

  /**
   * Creates a chooser for a VM in {@code domain}.
   *
   * @param regions the region of each failure domain; the demand is at first assumed to be equal
   *     among the regions, and among the domains of a region
   * @param maxRegionShift largest change of the overflow share within two seconds
   */
  public ServerChooser(
      ServerTable table,
      ColdStartLimiter coldStartLimiter,
      FailureDomainId domain,
      Map<FailureDomainId, RegionId> regions,
      double maxRegionShift) {
    this.table = table;
    this.eligibility = new ServerEligibility(coldStartLimiter);
    this.domain = domain;
    this.region = regions.get(domain);
    this.ownDemandFraction = 1.0 / new HashSet<>(regions.values()).size();
    this.domainPlacement =
        new DomainPlacement(1.0 / Collections.frequency(regions.values(), region));
    this.maxRegionShift = maxRegionShift;
  }

  /**
   * An attempt that needs a server.
   *
   * @param service the service
   * @param rule the rule of the service
   * @param object identifies what the request is about; empty if nothing does
   * @param allowedRegions regions that may run the request; empty for all
   * @param triedServers servers that earlier attempts were sent to
   * @param objectiveNanos the latency objective
   * @param remainingNanos time until the answer is useless
   * @param priorityLevel level of the request's priority; 0 is the most urgent, 2 the least
   * @param waitLimit bound on the wait at a server while the service is scarce
   */
  public record Attempt(
      ServiceId service,
      ServiceRule rule,
      String object,
      Set<RegionId> allowedRegions,
      Set<BackendServerId> triedServers,
      long objectiveNanos,
      long remainingNanos,
      double priorityLevel,
      Optional<WaitLimit> waitLimit) {

    /** An attempt whose wait is bounded by its priority and objective only. */
    public Attempt(
        ServiceId service,
        ServiceRule rule,
        String object,
        Set<RegionId> allowedRegions,
        Set<BackendServerId> triedServers,
        long objectiveNanos,
        long remainingNanos,
        double priorityLevel) {
      this(
          service,
          rule,
          object,
          allowedRegions,
          triedServers,
          objectiveNanos,
          remainingNanos,
          priorityLevel,
          Optional.empty());
    }
  }

  /** The outcome of a choice. */
  public sealed interface Choice {

    /** Returns why it was made, for logs and metrics. */
    String reason();

    /**
     * The attempt goes to a server.
     *
     * @param server the server
     * @param reason how it was chosen
     * @param affinityHit whether this VM knows that the server handled the object recently
     */
    record Use(ServerState server, String reason, boolean affinityHit) implements Choice {}

    /**
     * No server can take the attempt now.
     *
     * @param reason why not
     * @param excluded number of servers that get no request now, by reason
     * @param nanosUntilEligible time until one of them may get the request, if it is known
     */
    record None(String reason, Map<Exclusion, Integer> excluded, OptionalLong nanosUntilEligible)
        implements Choice {

      /** Copies the map. */
      public None {
        excluded = Map.copyOf(excluded);
      }

      /** No server can take the attempt, although some may get requests. */
      None(String reason) {
        this(reason, Map.of(), OptionalLong.empty());
      }
    }
  }

  /** Chooses a server. */
  public Choice choose(
      Attempt attempt,
      Map<ServiceId, VersionTrial> trials,
      ColdStartLimiter.Peers peers,
      long nowNanos) {
    fallbackCredits.merge(
        attempt.service(),
        FALLBACK_SHARE,
        (credit, added) -> Math.min(MAX_FALLBACK_CREDIT, credit + added));
    List<ServerState> usable = table.usable(attempt.service());
    List<ServerState> eligible = eligibility.eligible(usable, attempt, peers, nowNanos);
    if (eligible.isEmpty()) {
      return new Choice.None(
          "no-server",
          eligibility.exclusions(usable, attempt, peers, nowNanos),
          eligibility.nanosUntilEligible(usable, attempt, peers, nowNanos));
    }
    VersionTrial trial = trials.get(attempt.service());
    if (trial == null) {
      return chooseRegion(attempt, eligible, nowNanos);
    }
    boolean onTrial = nextOnTrial(attempt.service(), trial.share());
    List<ServerState> candidates =
        onTrial
            ? trialServers(attempt.service(), trial, eligible)
            : ofVersion(eligible, trial, false);
    Choice choice = chooseRegion(attempt, candidates, nowNanos);
    if (choice instanceof Choice.Use || trial.share() == 0 || trial.share() == 1) {
      return choice;
    }
    return onTrial ? chooseRegion(attempt, ofVersion(eligible, trial, false), nowNanos) : choice;
  }

  /** Returns the share of a service's requests that this VM sends to other regions, from 0 to 1. */
  public double overflowShare(ServiceId service) {
    OverflowShare overflow = overflows.get(service);
    return overflow == null ? 0 : overflow.share();
  }

  /**
   * Returns the share of a service's objects that this VM sends to other failure domains of its
   * region, from 0 to 1, or nothing while the service is spread over the region.
   */
  public OptionalDouble domainOverflowShare(ServiceId service) {
    return domainPlacement.shareByDomain(service);
  }

  private boolean nextOnTrial(ServiceId service, double share) {
    double credit = trialCredits.getOrDefault(service, 0.0) + share;
    boolean onTrial = credit >= 1;
    trialCredits.put(service, onTrial ? credit - 1 : credit);
    return onTrial;
  }

  /**
   * Returns the servers that get the requests of a version on trial. Their part of all servers of
   * the version equals its share of the requests, so each has about the load that it will have
   * after the rollout. A fault that appears only under load therefore shows while few requests go
   * to the version.
   */
  private List<ServerState> trialServers(
      ServiceId service, VersionTrial trial, List<ServerState> eligible) {
    List<ServerState> onTrial =
        ofVersion(table.usable(service), trial, true).stream()
            .sorted(Comparator.comparingLong(ServerState::hash))
            .toList();
    int serverCount = (int) Math.ceil(trial.share() * onTrial.size());
    return onTrial.subList(0, serverCount).stream().filter(eligible::contains).toList();
  }

  private static List<ServerState> ofVersion(
      List<ServerState> servers, VersionTrial trial, boolean onTrial) {
    VersionId to = trial.to();
    return servers.stream()
        .filter(server -> server.announced().version().equals(to) == onTrial)
        .toList();
  }

  private Choice chooseRegion(Attempt attempt, List<ServerState> eligible, long nowNanos) {
    if (eligible.isEmpty()) {
      return new Choice.None("no-server");
    }
    List<ServerState> own = new ArrayList<>();
    List<ServerState> others = new ArrayList<>();
    eligible.forEach(server -> (server.region().equals(region) ? own : others).add(server));
    if (own.isEmpty()) {
      return AffinityChooser.choose(attempt, others, "other-region", nowNanos);
    }
    if (others.isEmpty()) {
      return chooseInRegion(attempt, own, nowNanos);
    }
    OverflowShare overflow =
        overflows.computeIfAbsent(
            attempt.service(),
            id -> new OverflowShare(maxRegionShift, fairOverflowShare(own, others)));
    overflow.update(areaLoad(own, nowNanos).perSlot(), fairOverflowShare(own, others), nowNanos);
    if (overflow.overflows(objectRank(attempt, REGION_SALT))) {
      Choice choice = AffinityChooser.choose(attempt, others, "spill", nowNanos);
      return choice instanceof Choice.Use ? choice : chooseInRegion(attempt, own, nowNanos);
    }
    Choice choice = chooseInRegion(attempt, own, nowNanos);
    if (choice instanceof Choice.None && mayFallBack(attempt)) {
      return AffinityChooser.choose(attempt, others, "fallback", nowNanos);
    }
    return choice;
  }

  /** Chooses among the servers of the own region, those of the selected failure domain first. */
  private Choice chooseInRegion(Attempt attempt, List<ServerState> own, long nowNanos) {
    List<ServerState> inDomain = new ArrayList<>();
    List<ServerState> neighbours = new ArrayList<>();
    own.forEach(
        server ->
            (server.announced().failureDomain().equals(domain) ? inDomain : neighbours)
                .add(server));
    AreaLoad domainLoad = areaLoad(inDomain, nowNanos);
    AreaLoad neighbourLoad = areaLoad(neighbours, nowNanos);
    if (!DomainPlacement.isByDomain(domainLoad, neighbourLoad)) {
      domainPlacement.recordByRegion(attempt.service());
      return AffinityChooser.choose(attempt, own, "own-region", nowNanos);
    }
    boolean stays =
        domainPlacement.staysInDomain(
            attempt.service(),
            objectRank(attempt, DOMAIN_SALT),
            domainLoad,
            neighbourLoad,
            nowNanos);
    Choice choice =
        stays
            ? AffinityChooser.choose(attempt, inDomain, "own-domain", nowNanos)
            : AffinityChooser.choose(attempt, neighbours, "neighbour-domain", nowNanos);
    if (choice instanceof Choice.Use) {
      return choice;
    }
    return stays
        ? AffinityChooser.choose(attempt, neighbours, "neighbour-domain", nowNanos)
        : AffinityChooser.choose(attempt, inDomain, "own-domain", nowNanos);
  }

  private static double objectRank(Attempt attempt, long salt) {
    long objectHash = StableHash.hash(attempt.object());
    return StableHash.score(objectHash, salt) / (double) Long.MAX_VALUE;
  }

  /**
   * Returns the part of the region's requests that exceeds the capacity of its servers if all
   * servers of the service get equally many requests per slot. All VMs of a region see nearly the
   * same servers and demand, so the same objects overflow on each of them.
   */
  private double fairOverflowShare(List<ServerState> own, List<ServerState> others) {
    double ownSlots = slots(own);
    double allSlots = ownSlots + slots(others);
    return Math.max(0, 1 - ownSlots / allSlots / Math.max(ownDemandFraction, MIN_DEMAND_FRACTION));
  }

  /** Sets the part of the demand that comes from callers near this VM. */
  public void setOwnDemand(DemandShares shares) {
    ownDemandFraction = shares.ofAllRegions();
    domainPlacement.setDemandFraction(shares.ofOwnRegion());
  }

  private static double slots(List<ServerState> servers) {
    return servers.stream().mapToInt(server -> server.announced().slots()).sum();
  }

  private boolean mayFallBack(Attempt attempt) {
    if (!attempt.triedServers().isEmpty()) {
      return true;
    }
    double credit = fallbackCredits.get(attempt.service());
    if (credit >= 1) {
      fallbackCredits.put(attempt.service(), credit - 1);
    }
    return credit >= 1;
  }

  private static AreaLoad areaLoad(List<ServerState> servers, long nowNanos) {
    double load = 0;
    for (ServerState server : servers) {
      load += server.load(nowNanos);
    }
    return new AreaLoad(servers.size(), slots(servers), load);
  }
}
