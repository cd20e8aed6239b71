package org.toucanrack.internal.coordination.limit;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.state.ControlSnapshot;

/**
 * Limits the rates of customers by escrow: tokens come from the shares that this VM owns and from
 * loans by the owners of other shares.
 *
 * <p>Invariant: over all VMs, at most rate x t + burst requests of a customer are admitted in any
 * interval t. Thread-safe; one lock per customer.
 */
public final class EscrowRateLimiter implements RateLimiter, TokenLender {

  /** Requests of open routes are accounted to this customer; it is unlimited unless declared. */
  public static final CustomerId ANONYMOUS = new CustomerId("anonymous");

  private static final long UNKNOWN_CUSTOMER_RETRY_MILLIS = 1000;

  private final Map<CustomerId, CustomerTokens> customers = new ConcurrentHashMap<>();
  private final TokenExchange exchange;
  private final LongSupplier clock;
  private final LongPredicate permitsShares;

  /**
   * Creates a limiter without customers.
   *
   * @param exchange sends requests for tokens to peers
   * @param clock monotonic nanoseconds, read when an answer arrives
   * @param permitsShares whether the lease of this VM permits the use of its shares at a monotonic
   *     time
   */
  public EscrowRateLimiter(
      TokenExchange exchange, LongSupplier clock, LongPredicate permitsShares) {
    this.exchange = exchange;
    this.clock = clock;
    this.permitsShares = permitsShares;
  }

  /**
   * Applies the customers and share owners of a snapshot. Shares that are new to this VM start
   * empty.
   */
  public void update(ControlSnapshot snapshot, long nowNanos) {
    Map<CustomerId, CustomerShare> shares = CustomerShares.of(snapshot);
    customers.keySet().retainAll(shares.keySet());
    shares.forEach(
        (id, share) ->
            customers.computeIfAbsent(id, key -> create(key, share)).configure(share, nowNanos));
  }

  /** Returns whether this VM still spends or lends tokens of its own share of a customer's rate. */
  public boolean usesShare(CustomerId customer) {
    CustomerTokens tokens = customers.get(customer);
    return tokens != null && tokens.usesShare();
  }

  @Override
  public CompletionStage<RateDecision> acquire(CustomerId customer, long nowNanos) {
    CustomerTokens tokens = customers.get(customer);
    if (tokens != null) {
      return tokens.acquire(nowNanos);
    }
    boolean admitted = ANONYMOUS.equals(customer);
    return CompletableFuture.completedFuture(
        new RateDecision(admitted, admitted ? 0 : UNKNOWN_CUSTOMER_RETRY_MILLIS));
  }

  @Override
  public TokenLoan lend(CustomerId customer, double tokens, long nowNanos) {
    CustomerTokens lender = customers.get(customer);
    return lender == null
        ? new TokenLoan(0, UNKNOWN_CUSTOMER_RETRY_MILLIS)
        : lender.lend(tokens, nowNanos);
  }

  /** Refuses waiting requests and abandons calls that timed out. To be called about every 10 ms. */
  public void expire(long nowNanos) {
    customers.values().forEach(tokens -> tokens.expire(nowNanos));
  }

  private CustomerTokens create(CustomerId customer, CustomerShare share) {
    return new CustomerTokens(customer, share, exchange, clock, permitsShares);
  }
}
