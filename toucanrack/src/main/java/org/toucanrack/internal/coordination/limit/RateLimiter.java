package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.CompletionStage;
import org.toucanrack.id.CustomerId;

/** Admits requests within the rates of their customers over all VMs. Thread-safe. */
public interface RateLimiter {

  /**
   * Spends one token of the customer, from this VM if it has one, otherwise from peers.
   *
   * <p>Never completes exceptionally and never waits for the store.
   */
  CompletionStage<RateDecision> acquire(CustomerId customer, long nowNanos);
}
