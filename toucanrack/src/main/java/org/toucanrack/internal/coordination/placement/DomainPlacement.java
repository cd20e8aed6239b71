package org.toucanrack.internal.coordination.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.toucanrack.id.ServiceId;

/**
 * Decides which objects of a region's callers are served by the servers of the own failure domain,
 * and which ones by those of the region's other failure domains.
 *
 * <p>Load pattern: many servers and callers in each failure domain, where traffic between domains
 * is slow or expensive. If the choice ignores the domain, half of the requests of a region with two
 * domains cross between them.
 *
 * <p>Invariants: a service with few servers in the own domain is spread over the whole region; a
 * share of the objects leaves the domain only while its servers are overloaded and those of the
 * other domains have more room. Not thread-safe.
 */
public final class DomainPlacement {

  /**
   * Servers of a service that a domain needs. Each domain's servers have to know the objects of the
   * whole region: with 12 servers, that displaced so many objects from their caches that fewer
   * requests were answered in time.
   */
  private static final int MIN_SERVERS_IN_DOMAIN = 16;

  /**
   * Largest change of the share within two seconds. Objects that move are unknown to their new
   * servers, but no guaranteed limit applies within a region.
   */
  private static final double MAX_SHIFT = 0.4;

  /** Smallest part of the demand that a domain is assumed to have. */
  private static final double MIN_DEMAND_FRACTION = 0.05;

  private final Map<ServiceId, OverflowShare> overflows = new HashMap<>();

  /** Services that were placed by domain before and are spread over the region now. */
  private final Set<ServiceId> byRegion = new HashSet<>();

  private double demandFraction;

  /**
   * Creates a placement.
   *
   * @param demandFraction the own domain's part of the region's requests, until it is known
   */
  public DomainPlacement(double demandFraction) {
    this.demandFraction = demandFraction;
  }

  /** Sets the own domain's part of the requests of its region, from 0 to 1. */
  public void setDemandFraction(double fraction) {
    demandFraction = fraction;
  }

  /**
   * Returns whether the own domain has enough servers of a service for a choice by domain.
   *
   * @param own the servers of the own domain
   * @param neighbours the servers of the other domains of the region
   */
  public static boolean isByDomain(AreaLoad own, AreaLoad neighbours) {
    return own.servers() >= MIN_SERVERS_IN_DOMAIN && neighbours.servers() > 0;
  }

  /**
   * Returns whether an object is served by the own domain.
   *
   * @param objectRank the rank of the object among all objects, from 0 to 1, which never changes
   */
  public boolean staysInDomain(
      ServiceId service, double objectRank, AreaLoad own, AreaLoad neighbours, long nowNanos) {
    OverflowShare overflow =
        overflows.computeIfAbsent(service, id -> new OverflowShare(MAX_SHIFT, 0));
    byRegion.remove(service);
    double target = own.perSlot() > neighbours.perSlot() ? fairShare(own, neighbours) : 0;
    overflow.update(own.perSlot(), target, nowNanos);
    return !overflow.overflows(objectRank);
  }

  /** Records that a service is spread over the region, for want of servers in the own domain. */
  public void recordByRegion(ServiceId service) {
    if (overflows.containsKey(service)) {
      byRegion.add(service);
    }
  }

  /**
   * Returns the share of a service's objects that other domains of the region serve, or nothing if
   * the service is spread over the region.
   */
  public OptionalDouble shareByDomain(ServiceId service) {
    return overflows.containsKey(service) && !byRegion.contains(service)
        ? OptionalDouble.of(overflowShare(service))
        : OptionalDouble.empty();
  }

  /** Returns the share of a service's objects that other domains of the region serve. */
  public double overflowShare(ServiceId service) {
    OverflowShare overflow = overflows.get(service);
    return overflow == null ? 0 : overflow.share();
  }

  /** Returns the part of the domain's requests at which all servers get equally many per slot. */
  private double fairShare(AreaLoad own, AreaLoad neighbours) {
    double ownPart = own.slots() / Math.max(1, own.slots() + neighbours.slots());
    return Math.max(0, 1 - ownPart / Math.max(demandFraction, MIN_DEMAND_FRACTION));
  }
}
