package org.toucanrack.bench.capacity;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.internal.coordination.limit.EscrowRateLimiter;
import org.toucanrack.internal.coordination.limit.TokenLoan;
import org.toucanrack.internal.state.ControlSnapshot;

/** Memory and CPU time of the rate limiter by number of customers, in 47 failure domains. */
final class RateLimiterBenchmark implements ScalingBenchmark {

  private static final int FAILURE_DOMAINS = 47;
  private static final int MEMBERS_PER_DOMAIN = 64;

  @Override
  public void measure(Scale scale, FigureRecorder figures) {
    for (int customers : new int[] {100, 500, 1_000}) {
      int size = scale.sizeFor(customers);
      ControlSnapshot snapshot =
          new Fleet(FAILURE_DOMAINS, scale.sizeFor(MEMBERS_PER_DOMAIN), 1, 1, size, 1).snapshot();
      FigureRecorder.Point point = figures.pointAt("rate limiter", "customers", size);
      long nowNanos = System.nanoTime();
      point.measureRetainedHeap("limiter", () -> createLimiter(snapshot, nowNanos));
      EscrowRateLimiter limiter = createLimiter(snapshot, nowNanos);
      point.measureCpu("update by a snapshot", () -> limiter.update(snapshot, nowNanos));
      point.measureCpu("expire", () -> limiter.expire(nowNanos));
      Random random = new Random(4);
      point.measureCpu(
          "acquire with borrowed tokens",
          () -> limiter.acquire(Fleet.customerId(random.nextInt(size)), System.nanoTime()));
      point.measureCpu(
          "lend", () -> limiter.lend(Fleet.customerId(random.nextInt(size)), 1, System.nanoTime()));
    }
  }

  private static EscrowRateLimiter createLimiter(ControlSnapshot snapshot, long nowNanos) {
    EscrowRateLimiter limiter =
        new EscrowRateLimiter(
            (lender, customer, tokens) ->
                CompletableFuture.completedFuture(new TokenLoan(tokens, 0)),
            System::nanoTime,
            at -> true);
    limiter.update(snapshot, nowNanos);
    return limiter;
  }
}
