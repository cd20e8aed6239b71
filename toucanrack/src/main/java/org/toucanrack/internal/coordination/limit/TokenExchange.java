package org.toucanrack.internal.coordination.limit;

import java.util.concurrent.CompletionStage;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.Incarnation;

/** Asks the owner of a share of a customer's rate for tokens. Thread-safe. */
public interface TokenExchange {

  /**
   * Sends one request for tokens, without repeats. A lost answer loses the tokens.
   *
   * @return the answer, or an exceptional completion when there is none
   */
  CompletionStage<TokenLoan> request(Incarnation lender, CustomerId customer, double tokens);
}
