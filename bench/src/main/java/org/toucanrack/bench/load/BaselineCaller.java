package org.toucanrack.bench.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Customer;

/**
 * The baseline: independent proxies with round robin over backend servers, a local rate limit of
 * the customer's rate divided by the number of proxies, and up to three retries even if the request
 * may have run. It simulates as many proxies as there are entry VMs inside this process; without a
 * network hop, the comparison favours the baseline. Thread-safe.
 */
public final class BaselineCaller implements Caller {

  private static final int MAX_RETRIES = 3;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;

  /** State of one proxy. Guarded by the monitor of its {@link BaselineCaller}. */
  private static final class Proxy {
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, Integer> nextServerIndexes = new HashMap<>();
  }

  private final LoadClient client;
  private final Map<String, List<String>> serversByService = new HashMap<>();
  private final List<Proxy> proxies = new ArrayList<>();
  private final Random random;
  private final LongSupplier nanoTime;

  /** Creates a baseline with as many proxies as the layout has entry VMs. */
  public BaselineCaller(Layout layout, LoadClient client, long seed, LongSupplier nanoTime) {
    this.client = client;
    this.random = new Random(seed);
    this.nanoTime = nanoTime;
    for (Map.Entry<String, List<BackendServer>> service : layout.serversByService().entrySet()) {
      serversByService.put(
          service.getKey(), service.getValue().stream().map(Layout::address).toList());
    }
    int proxyCount = layout.entryVms().size();
    for (int i = 0; i < proxyCount; i++) {
      Proxy proxy = new Proxy();
      for (Customer customer : layout.deployment().customers()) {
        proxy.buckets.put(
            customer.id().value(),
            new TokenBucket(
                customer.requestsPerSecond() / proxyCount,
                Math.max(1, customer.burst() / proxyCount),
                nanoTime.getAsLong()));
      }
      proxies.add(proxy);
    }
  }

  /** Removes up to {@code count} proxies, as if their VMs were killed; one proxy always stays. */
  public synchronized void removeProxies(int count) {
    for (int i = 0; i < count && proxies.size() > 1; i++) {
      proxies.remove(proxies.size() - 1);
    }
  }

  @Override
  public CompletableFuture<Result> send(PlannedRequest request) {
    Proxy proxy;
    synchronized (this) {
      proxy = proxies.get(random.nextInt(proxies.size()));
      if (!proxy.buckets.get(request.customer()).tryTake(nanoTime.getAsLong())) {
        return CompletableFuture.completedFuture(
            new Result(Outcome.REFUSED, TOO_MANY_REQUESTS, "RATE_EXCEEDED", "baseline", true));
      }
    }
    return attempt(proxy, request, MAX_RETRIES, false);
  }

  private CompletableFuture<Result> attempt(
      Proxy proxy, PlannedRequest request, int retriesLeft, boolean mayHaveRun) {
    String server = nextServer(proxy, request.service());
    return client
        .send(
            request.method(),
            server,
            request.target(),
            Map.of("X-Caller-Request-Id", request.id(), "Toucanrack-Customer", request.customer()))
        .thenCompose(
            answer -> {
              boolean failed = answer.status() == 0 || answer.status() >= SERVER_ERROR;
              boolean mayHaveRunSoFar = mayHaveRun || !answer.isNotRun();
              if (failed && retriesLeft > 0) {
                return attempt(proxy, request, retriesLeft - 1, mayHaveRunSoFar);
              }
              Outcome outcome = answer.outcome();
              if (outcome == Outcome.REFUSED && mayHaveRun) {
                outcome = Outcome.UNKNOWN;
              }
              return CompletableFuture.completedFuture(
                  new Result(outcome, answer.status(), "", server, answer.matches(request)));
            });
  }

  private synchronized String nextServer(Proxy proxy, String service) {
    List<String> candidates = serversByService.get(service);
    int index = proxy.nextServerIndexes.merge(service, 1, Integer::sum);
    return candidates.get(index % candidates.size());
  }
}
