package org.toucanrack.internal.coordination.steer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.toucanrack.id.CustomerId;
import org.toucanrack.steering.CustomerRule;

/**
 * Limits each customer to this VM's share of its rate.
 *
 * <p>A customer may send its rate and its burst within any window; {@link ShareWindow} keeps this
 * limit. A token bucket paces the requests of a customer above it, so that they do not arrive at
 * the servers in one peak per window. The bucket is filled at the rate that the limit allows in the
 * long run: a bucket that is filled at the rate alone refuses a customer that stays slightly above
 * its rate, although it is within the limit of each window.
 *
 * <p>Each VM claims a share of the rate and publishes it to the others. A share follows the demand,
 * but is raised only within what the latest claims of the others leave free. The sum of all shares
 * therefore stays at most 1 while messages are lost or VMs are partitioned in any way, as each side
 * honours the last claims of the other. When a VM starts, its buckets hold less than a token, since
 * the VMs before it may have spent the burst. The part of a token is random: with empty buckets,
 * many VMs with small shares would all wait for their first token. Not thread-safe.
 */
public final class RateShares {

  /** Fraction of the allowed excess of requests that is distributed over the VMs as extra burst. */
  private static final double USED_RESERVE_FRACTION = 0.7;

  /** Share of a VM that has received no heartbeats since its start. */
  private static final double INITIAL_SHARE = 0.03;

  /**
   * Upper limit of the bucket capacity, in seconds of the rate. It bounds what two VMs may send
   * twice when a share moves between them, which the allowed overshoot has to cover.
   */
  private static final double MAX_PEAK_SECONDS = 0.5;

  /** Time constant of the exponential decay of the demand. */
  private static final double DEMAND_DECAY_SECONDS = 4.0;

  /**
   * Requests wait for a token while the demand is at most this multiple of the share, or that of
   * all VMs is at most this multiple of the rate. Above it, a queue would not drain, and delay the
   * requests that are admitted.
   */
  private static final double MAX_WAITING_DEMAND = 1.0;

  /**
   * Time without admissions before the first request that counts towards the share: this VM has
   * held the share since its start, and others can have used it until then.
   */
  private static final long MAX_UNUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Map<CustomerId, CustomerBucket> buckets = new HashMap<>();
  private final double reserveRequests;
  private final RandomGenerator random;
  private final long vmStartedNanos;
  private final SmallRatePolicy policy;
  private final long windowNanos;
  private int servingVms = 1;
  private boolean serving = true;
  private boolean membersListed;

  /**
   * Creates shares without customers.
   *
   * @param reserveRequests requests allowed within a window on top of rate and burst, over all VMs;
   *     the allowed overshoot in percent is left as a margin for shares that move between VMs
   * @param window the time within which a customer may send its rate and its burst
   * @param random the source of the part of a token that a bucket holds at first
   * @param vmStartedNanos when this VM was started
   */
  public RateShares(
      double reserveRequests, Duration window, RandomGenerator random, long vmStartedNanos) {
    this(reserveRequests, window, random, vmStartedNanos, SmallRatePolicy.CURRENT);
  }

  /** Creates shares without customers that treat small rates by the given policy. */
  public RateShares(
      double reserveRequests,
      Duration window,
      RandomGenerator random,
      long vmStartedNanos,
      SmallRatePolicy policy) {
    this.policy = policy;
    this.random = random;
    this.vmStartedNanos = vmStartedNanos;
    this.reserveRequests = reserveRequests;
    this.windowNanos = window.toNanos();
  }

  /**
   * What a VM publishes about one customer.
   *
   * @param share the share of the rate that it uses
   * @param demand requests per second that arrive at it
   * @param serving whether callers are sent to it
   */
  public record Claim(double share, double demand, boolean serving) {

    // Written out to spare each process the code that links the added ones, see
    // docs/design/start-up.md.
    @Override
    public boolean equals(Object other) {
      return other instanceof Claim claim
          && Double.compare(share, claim.share) == 0
          && Double.compare(demand, claim.demand) == 0
          && serving == claim.serving;
    }

    @Override
    public int hashCode() {
      return (Double.hashCode(share) * 31 + Double.hashCode(demand)) * 31
          + Boolean.hashCode(serving);
    }
  }

  /**
   * The decision about one request.
   *
   * @param admitted whether the request may run
   * @param retryAfter when a token is expected; zero if admitted
   * @param share this VM's share of the customer's rate
   * @param mayWait whether a token can be expected soon, since the customer sends no more than its
   *     rate to all VMs or than the share to this one, or since the VM has just started
   */
  public record Decision(boolean admitted, Duration retryAfter, double share, boolean mayWait) {}

  private static final class CustomerBucket {
    private final ShareWindow window;
    private double share = INITIAL_SHARE;
    private double tokens;
    private double firstTokens;
    private double demand;

    /** Latest claims of the other VMs; unlimited before they are known. */
    private double otherDemand = Double.POSITIVE_INFINITY;

    private long refilledNanos;
    private long startedNanos;
    private boolean started;
    private boolean divided;

    CustomerBucket(long windowNanos) {
      window = new ShareWindow(windowNanos);
    }
  }

  /**
   * Takes a token for one request of a customer. Requests of customers without a rate limit are
   * always admitted.
   */
  public Decision admit(CustomerRule customer, long nowNanos) {
    CustomerBucket bucket = bucket(customer);
    refill(bucket, customer, nowNanos);
    bucket.demand += 1 / DEMAND_DECAY_SECONDS;
    if (!customer.isLimited()) {
      return new Decision(true, Duration.ZERO, bucket.share, false);
    }
    if (tryTake(bucket, customer, nowNanos)) {
      return new Decision(true, Duration.ZERO, bucket.share, false);
    }
    double perSecond = Math.max(0.1, bucket.share * sustainedRate(customer));
    long millis = (long) Math.min(2000, 50 + 1000 * Math.max(0, 1 - bucket.tokens) / perSecond);
    boolean hasJustStarted = nowNanos - bucket.startedNanos < windowNanos;
    boolean mayWait =
        hasJustStarted
            || bucket.demand <= MAX_WAITING_DEMAND * perSecond
            || isWithinRate(bucket, customer);
    return new Decision(false, Duration.ofMillis(millis), bucket.share, mayWait);
  }

  /** Returns whether other VMs can be expected to lend tokens. */
  private boolean isWithinRate(CustomerBucket bucket, CustomerRule customer) {
    return policy.waitsByTotalDemand()
        && bucket.demand + bucket.otherDemand <= MAX_WAITING_DEMAND * sustainedRate(customer);
  }

  /**
   * Takes a token on behalf of another VM, or for a request that waits since it was not admitted.
   *
   * @return whether there was one
   */
  public boolean takeToken(CustomerRule customer, long nowNanos) {
    CustomerBucket bucket = bucket(customer);
    refill(bucket, customer, nowNanos);
    return customer.isLimited() && tryTake(bucket, customer, nowNanos);
  }

  private boolean tryTake(CustomerBucket bucket, CustomerRule customer, long nowNanos) {
    boolean mayUseReserve = nowNanos - bucket.startedNanos >= windowNanos;
    double reserve = mayUseReserve ? reservePart() : bucket.firstTokens;
    boolean permitted =
        bucket.tokens >= 1
            && bucket.window.permits(
                customer.requestsPerSecond(), customer.burst(), reserve, nowNanos);
    if (permitted) {
      bucket.tokens -= 1;
      bucket.window.recordAdmitted(nowNanos);
    }
    return permitted;
  }

  private CustomerBucket bucket(CustomerRule customer) {
    return buckets.computeIfAbsent(customer.id(), id -> new CustomerBucket(windowNanos));
  }

  /** Returns the token of an admitted request that did not run. */
  public void refund(CustomerRule customer) {
    CustomerBucket bucket = buckets.get(customer.id());
    if (bucket != null && customer.isLimited()) {
      bucket.tokens = Math.min(capacity(bucket, customer), bucket.tokens + 1);
      bucket.window.refund();
    }
  }

  /**
   * Sets whether the store has listed the other VMs to this one. Until then, a share is raised at
   * most to the mean of the claims that were heard.
   */
  public void setMembersListed(boolean areListed) {
    membersListed = areListed;
  }

  /** Sets whether callers are sent to this VM. */
  public void setServing(boolean isServing) {
    serving = isServing;
  }

  /**
   * Adapts the share to the latest claims of the other VMs. A serving VM whose claim is unknown is
   * assumed to hold an equal part of the rate.
   *
   * @param reportedClaims the latest claims of the other VMs, as far as they are known
   * @param otherServingVms number of the other VMs that may serve callers
   */
  public void rebalance(
      CustomerRule customer, Collection<Claim> reportedClaims, int otherServingVms, long nowNanos) {
    List<Claim> others = new ArrayList<>(reportedClaims);
    long reportedServing = reportedClaims.stream().filter(Claim::serving).count();
    for (long vm = reportedServing; vm < otherServingVms; vm++) {
      others.add(new Claim(1.0 / (otherServingVms + 1), 0, true));
    }
    CustomerBucket bucket = bucket(customer);
    refill(bucket, customer, nowNanos);
    final double shareBefore = bucket.share;
    bucket.otherDemand = others.stream().mapToDouble(Claim::demand).sum();
    servingVms = 1 + (int) others.stream().filter(Claim::serving).count();
    if (!bucket.divided) {
      double initialShare = bucket.share;
      bucket.share =
          membersListed
              ? ShareDivision.firstShare(initialShare, reportedClaims, otherServingVms)
              : Math.max(initialShare, unlistedLimit(reportedClaims));
      bucket.divided = true;
      long heldSinceNanos = Math.max(vmStartedNanos, nowNanos - MAX_UNUSED_NANOS);
      bucket.window.setShare(bucket.share, heldSinceNanos);
      bucket.tokens +=
          (bucket.share - initialShare)
              * sustainedRate(customer)
              * (nowNanos - heldSinceNanos)
              / NANOS_PER_SECOND;
    }
    bucket.share =
        ShareDivision.rebalanced(new Claim(bucket.share, bucket.demand, serving), others);
    if (!membersListed) {
      bucket.share = Math.min(bucket.share, Math.max(shareBefore, unlistedLimit(reportedClaims)));
    }
    bucket.window.setShare(bucket.share, nowNanos);
    bucket.tokens = Math.min(bucket.tokens, capacity(bucket, customer));
  }

  /**
   * Returns the largest share that a VM raises its own to while it may not know all other VMs. The
   * claims of VMs that it has not heard look like free parts of the rate. The mean claim of the
   * serving VMs that it has heard is what an equal division gives.
   */
  private static double unlistedLimit(Collection<Claim> reportedClaims) {
    return reportedClaims.stream()
        .filter(Claim::serving)
        .mapToDouble(Claim::share)
        .average()
        .orElse(0);
  }

  /** Returns the claim that this VM publishes. */
  public Claim claim(CustomerId customer) {
    CustomerBucket bucket = buckets.get(customer);
    return bucket == null
        ? new Claim(INITIAL_SHARE, 0, serving)
        : new Claim(bucket.share, bucket.demand, serving);
  }

  private double capacity(CustomerBucket bucket, CustomerRule customer) {
    double peak = Math.min(customer.burst(), MAX_PEAK_SECONDS * customer.requestsPerSecond());
    return Math.max(policy.minCapacityTokens(), bucket.share * peak + reservePart());
  }

  private double reservePart() {
    return serving ? USED_RESERVE_FRACTION * reserveRequests / servingVms : 0;
  }

  /** Returns the requests per second at which the buckets of all VMs together are filled. */
  private double sustainedRate(CustomerRule customer) {
    return customer.requestsPerSecond() + customer.burst() * NANOS_PER_SECOND / windowNanos;
  }

  private void refill(CustomerBucket bucket, CustomerRule customer, long nowNanos) {
    if (!bucket.started) {
      bucket.started = true;
      bucket.startedNanos = nowNanos;
      bucket.firstTokens = random.nextDouble();
      bucket.tokens = bucket.firstTokens;
      bucket.refilledNanos = Math.max(vmStartedNanos, nowNanos - MAX_UNUSED_NANOS);
      bucket.window.setShare(bucket.share, bucket.refilledNanos);
    }
    double seconds = Math.max(0, nowNanos - bucket.refilledNanos) / NANOS_PER_SECOND;
    bucket.refilledNanos = nowNanos;
    bucket.demand *= Math.exp(-seconds / DEMAND_DECAY_SECONDS);
    double rate = bucket.share * sustainedRate(customer);
    bucket.tokens = Math.min(capacity(bucket, customer), bucket.tokens + seconds * rate);
  }
}
