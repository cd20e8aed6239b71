package org.toucanrack.internal.coordination.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.steering.CustomerRule;

/**
 * The part of each customer's rate that this VM may use.
 *
 * <p>Each VM claims a share of the rate and tells it to the others. A share follows the demand, but
 * is raised only into what the shares that the others last told leave free. So the sum stays at
 * most 1 while messages are lost or VMs are cut off from each other in any groups: both sides keep
 * what the other one claimed last. A VM that starts has no tokens, since those before it may have
 * spent the burst. Not thread-safe.
 */
public final class RateShares {

  /** Part of the allowed excess in requests that is spread over the VMs as extra burst. */
  private static final double USED_RESERVE_FRACTION = 0.7;

  /** Share of a VM that has heard no other one since its start. */
  private static final double INITIAL_SHARE = 0.03;

  /** Requests a second that each serving VM counts as asked for; small demands are noisy. */
  private static final double BASE_DEMAND_PER_SECOND = 1.0;

  /** Part of the mean demand that each serving VM counts as having, against noise. */
  private static final double MEAN_DEMAND_FRACTION = 1.0;

  /** A share is not lowered for less than this, since what is given up is slow to come back. */
  private static final double KEPT_SHARE_FRACTION = 0.8;

  /**
   * Part of what is free that is taken at a time, since a raise may be cut off before it is told.
   */
  private static final double USED_FREE_FRACTION = 0.5;

  /** Memory of the demand. */
  private static final double DEMAND_DECAY_SECONDS = 4.0;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Map<CustomerId, CustomerBucket> buckets = new HashMap<>();
  private final double reserveRequests;
  private int servingVms = 1;
  private boolean serving = true;

  /**
   * Creates shares without customers.
   *
   * @param reserveRequests requests of five seconds beyond rate and burst, over all VMs; the
   *     allowed overshoot in percent is left to shares that change hands
   */
  public RateShares(double reserveRequests) {
    this.reserveRequests = reserveRequests;
  }

  /**
   * What a VM told of one customer.
   *
   * @param share the part of the rate that it uses
   * @param demand requests a second that it is asked for
   * @param serving whether callers are sent to it
   */
  public record Claim(double share, double demand, boolean serving) {}

  /** The outcome of asking for one request. */
  public record Decision(boolean admitted, Duration retryAfter, double share) {}

  private static final class CustomerBucket {
    private double share = INITIAL_SHARE;
    private double tokens;
    private double demand;
    private long refilledNanos;
    private boolean started;
  }

  /** Asks for one request of a customer. */
  public Decision admit(CustomerRule customer, long nowNanos) {
    CustomerBucket bucket = buckets.computeIfAbsent(customer.id(), id -> new CustomerBucket());
    refill(bucket, customer, nowNanos);
    bucket.demand += 1 / DEMAND_DECAY_SECONDS;
    if (!customer.isLimited()) {
      return new Decision(true, Duration.ZERO, bucket.share);
    }
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return new Decision(true, Duration.ZERO, bucket.share);
    }
    double perSecond = Math.max(0.1, bucket.share * customer.requestsPerSecond());
    long millis = (long) Math.min(2000, 50 + 1000 * (1 - bucket.tokens) / perSecond);
    return new Decision(false, Duration.ofMillis(millis), bucket.share);
  }

  /** Gives a token to another VM, if there is one. */
  public boolean lend(CustomerRule customer, long nowNanos) {
    CustomerBucket bucket = buckets.computeIfAbsent(customer.id(), id -> new CustomerBucket());
    refill(bucket, customer, nowNanos);
    boolean lent = customer.isLimited() && bucket.tokens >= 1;
    bucket.tokens -= lent ? 1 : 0;
    return lent;
  }

  /** Returns one admitted request, which turned out not to run. */
  public void refund(CustomerRule customer) {
    CustomerBucket bucket = buckets.get(customer.id());
    if (bucket != null && customer.isLimited()) {
      bucket.tokens = Math.min(capacity(bucket, customer), bucket.tokens + 1);
    }
  }

  /** Learns whether callers are sent to this VM. */
  public void setServing(boolean isServing) {
    serving = isServing;
  }

  /**
   * Adapts the share to what the other VMs told last. A VM that told nothing yet may hold a part as
   * large as any other one.
   *
   * @param reportedClaims the claims of the other VMs, as far as they told them
   * @param otherServingVms number of the other VMs that may serve callers
   */
  public void rebalance(
      CustomerRule customer, Collection<Claim> reportedClaims, int otherServingVms, long nowNanos) {
    List<Claim> others = new ArrayList<>(reportedClaims);
    long reportedServing = reportedClaims.stream().filter(Claim::serving).count();
    for (long vm = reportedServing; vm < otherServingVms; vm++) {
      others.add(new Claim(1.0 / (otherServingVms + 1), 0, true));
    }
    CustomerBucket bucket = buckets.computeIfAbsent(customer.id(), id -> new CustomerBucket());
    refill(bucket, customer, nowNanos);
    servingVms = 1 + (int) others.stream().filter(Claim::serving).count();
    bucket.share = rebalanced(new Claim(bucket.share, bucket.demand, serving), others);
    bucket.tokens = Math.min(bucket.tokens, capacity(bucket, customer));
  }

  /**
   * Returns the new share of a VM; one that stands by gives its share up. All VMs compute from the
   * same claims, and divide what is free by what each lacks, so that they do not raise their shares
   * into the same part.
   */
  private static double rebalanced(Claim own, Collection<Claim> others) {
    double shares = own.share();
    double servingShares = own.share();
    double demand = own.demand();
    int servingCount = own.serving() ? 1 : 0;
    for (Claim other : others) {
      shares += other.share();
      servingShares += other.serving() ? other.share() : 0;
      demand += other.demand();
      servingCount += other.serving() ? 1 : 0;
    }
    if (!own.serving() && servingCount > 0) {
      return 0;
    }
    double baseDemand =
        BASE_DEMAND_PER_SECOND + MEAN_DEMAND_FRACTION * demand / Math.max(1, servingCount);
    double totalDemand = demand + Math.max(1, servingCount) * baseDemand;
    double targetShare = targetShare(own, baseDemand, totalDemand);
    if (targetShare < own.share()) {
      return targetShare;
    }
    if (servingShares > 1) {
      return own.share() / servingShares;
    }
    double free = 1 - shares;
    if (free <= 0) {
      // VMs on standby give up what they claimed; lowering this share as well would make it vanish.
      return own.share();
    }
    double totalShortfall = targetShare - own.share();
    for (Claim other : others) {
      totalShortfall +=
          other.serving()
              ? Math.max(0, targetShare(other, baseDemand, totalDemand) - other.share())
              : 0;
    }
    return totalShortfall <= 0
        ? own.share()
        : own.share()
            + (targetShare - own.share()) * Math.min(1, USED_FREE_FRACTION * free / totalShortfall);
  }

  private static double targetShare(Claim claim, double baseDemand, double totalDemand) {
    double target = (claim.demand() + baseDemand) / totalDemand;
    boolean withinTolerance =
        target < claim.share() && target > KEPT_SHARE_FRACTION * claim.share();
    return withinTolerance ? claim.share() : target;
  }

  /** Returns what this VM tells the others of a customer. */
  public Claim claim(CustomerId customer) {
    CustomerBucket bucket = buckets.get(customer);
    return bucket == null
        ? new Claim(INITIAL_SHARE, 0, serving)
        : new Claim(bucket.share, bucket.demand, serving);
  }

  private double capacity(CustomerBucket bucket, CustomerRule customer) {
    double reservePart = serving ? USED_RESERVE_FRACTION * reserveRequests / servingVms : 0;
    return Math.max(1, bucket.share * customer.burst() + reservePart);
  }

  private void refill(CustomerBucket bucket, CustomerRule customer, long nowNanos) {
    if (!bucket.started) {
      bucket.started = true;
      bucket.refilledNanos = nowNanos;
      return;
    }
    double seconds = Math.max(0, nowNanos - bucket.refilledNanos) / NANOS_PER_SECOND;
    bucket.refilledNanos = nowNanos;
    bucket.demand *= Math.exp(-seconds / DEMAND_DECAY_SECONDS);
    double rate = bucket.share * customer.requestsPerSecond();
    bucket.tokens = Math.min(capacity(bucket, customer), bucket.tokens + seconds * rate);
  }
}
