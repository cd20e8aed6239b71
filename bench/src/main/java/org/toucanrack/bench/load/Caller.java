package org.toucanrack.bench.load;

import java.util.concurrent.CompletableFuture;

/** Sends requests to the system under test. Implementations are thread-safe. */
public interface Caller {

  /**
   * The result of a request after all its attempts.
   *
   * @param outcome the outcome
   * @param status the last status code; 0 for none
   * @param code the error code of a refusal; empty for none
   * @param servedBy the address that the last attempt went to
   * @param matchesRequest whether the answer belongs to this request and not to another one
   */
  record Result(
      Outcome outcome, int status, String code, String servedBy, boolean matchesRequest) {}

  /** Sends a request including its retries. The future never completes exceptionally. */
  CompletableFuture<Result> send(PlannedRequest request);
}
