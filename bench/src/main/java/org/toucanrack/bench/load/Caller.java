package org.toucanrack.bench.load;

import java.util.concurrent.CompletableFuture;

/** A way to have requests served. Implementations are thread-safe. */
public interface Caller {

  /**
   * What became of a request.
   *
   * @param outcome the outcome
   * @param status the last status code; 0 for none
   * @param code the code of a rejection; empty for none
   * @param servedBy the address that the last attempt went to
   * @param matchesRequest whether the answer is to this request and not to another
   */
  record Result(
      Outcome outcome, int status, String code, String servedBy, boolean matchesRequest) {}

  /** Sends a request with all its retries; never completes exceptionally. */
  CompletableFuture<Result> send(PlannedRequest request);
}
