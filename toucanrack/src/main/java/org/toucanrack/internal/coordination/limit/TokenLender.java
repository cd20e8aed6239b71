package org.toucanrack.internal.coordination.limit;

import org.toucanrack.id.CustomerId;

/** Answers requests for tokens of the shares that this VM owns. Thread-safe. */
public interface TokenLender {

  /** Lends up to the requested tokens and subtracts them before it returns. */
  TokenLoan lend(CustomerId customer, double tokens, long nowNanos);
}
