package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.CompletionStage;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.Incarnation;

/** Requests tokens from the owner of a share of a customer's rate. Thread-safe. */
public interface TokenExchange {

  /**
   * Sends one request for tokens and never retries it. If the answer is lost, so are the tokens.
   *
   * @return the loan; completes exceptionally without an answer
   */
  CompletionStage<TokenLoan> request(Incarnation lender, CustomerId customer, double tokens);
}
