package org.toucanrack.bench.capacity;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.internal.coordination.limit.EscrowRateLimiter;
import org.toucanrack.internal.coordination.limit.TokenLoan;
import org.toucanrack.internal.state.ControlSnapshot;

/** Memory and CPU of the rate limiter against customers, in 47 failure domains. */
final class LimiterSlope implements Slope {

  private static final int DOMAINS = 47;
  private static final int MEMBERS = 64;

  @Override
  public void measure(Scale scale, Figures figures) {
    for (int customers : new int[] {100, 500, 1_000}) {
      int size = scale.of(customers);
      ControlSnapshot snapshot = new Fleet(DOMAINS, scale.of(MEMBERS), 1, 1, size, 1).snapshot();
      Figures.At at = figures.at("rate limiter", "customers", size);
      long now = System.nanoTime();
      at.retained("limiter", () -> limiter(snapshot, now));
      EscrowRateLimiter limiter = limiter(snapshot, now);
      at.cpu("update by a snapshot", () -> limiter.update(snapshot, now));
      at.cpu("expire", () -> limiter.expire(now));
      Random random = new Random(4);
      at.cpu(
          "acquire with borrowed tokens",
          () -> limiter.acquire(Fleet.customerId(random.nextInt(size)), System.nanoTime()));
      at.cpu(
          "lend", () -> limiter.lend(Fleet.customerId(random.nextInt(size)), 1, System.nanoTime()));
    }
  }

  private static EscrowRateLimiter limiter(ControlSnapshot snapshot, long now) {
    EscrowRateLimiter limiter =
        new EscrowRateLimiter(
            (giver, customer, tokens) ->
                CompletableFuture.completedFuture(new TokenLoan(tokens, 0)),
            System::nanoTime,
            at -> true);
    limiter.update(snapshot, now);
    return limiter;
  }
}
