package org.toucanrack.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Calls entry VMs according to their protocol: caches look-up answers for their time to live, sends
 * non-idempotent requests with tickets, and retries on another entry VM only if no complete answer
 * arrived and the request did not run, is idempotent, or has a ticket. Thread-safe.
 */
public final class SteeredCaller implements Caller {

  private static final int MAX_ATTEMPTS = 3;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A cached look-up answer; has no entries if no entry VM answered the look-up. */
  private record LookUp(List<String> entries, long expiresNanos) {}

  /** A request and the state that its attempts share. */
  private record Call(
      PlannedRequest request, List<String> entries, String ticket, boolean mayHaveRun) {}

  private final LoadClient client;
  private final List<String> bootstrapEntries;
  private final Map<String, String> keys;
  private final AtomicInteger rotation = new AtomicInteger();
  private final Map<String, Integer> customerIndexes = new HashMap<>();
  private final Map<String, CompletableFuture<LookUp>> lookUps = new ConcurrentHashMap<>();

  /**
   * Creates a caller.
   *
   * @param bootstrapEntries addresses of entry VMs known in advance, to which look-ups are sent
   * @param keys the key of each customer
   */
  public SteeredCaller(LoadClient client, List<String> bootstrapEntries, Map<String, String> keys) {
    this.client = client;
    this.bootstrapEntries = List.copyOf(bootstrapEntries);
    this.keys = Map.copyOf(keys);
    keys.keySet().stream()
        .sorted()
        .forEach(customer -> customerIndexes.put(customer, customerIndexes.size()));
  }

  @Override
  public CompletableFuture<Result> send(PlannedRequest request) {
    CompletableFuture<LookUp> lookUp = lookUp(request);
    if (request.idempotent()) {
      return lookUp.thenCompose(
          found -> attempt(new Call(request, entriesOrBootstrap(found), null, false), 0));
    }
    return lookUp.thenCompose(
        found -> {
          List<String> entries = entriesOrBootstrap(found);
          return fetchTicket(request, entries, 0)
              .thenCompose(ticket -> attempt(new Call(request, entries, ticket, false), 0));
        });
  }

  /** Falls back to the bootstrap entries in rotating order if there is no look-up answer. */
  private List<String> entriesOrBootstrap(LookUp found) {
    if (!found.entries().isEmpty()) {
      return found.entries();
    }
    List<String> rotated = new ArrayList<>(bootstrapEntries);
    Collections.rotate(rotated, rotation.getAndIncrement());
    return rotated;
  }

  private CompletableFuture<Result> attempt(Call call, int attempt) {
    String entry = call.entries().get(attempt % call.entries().size());
    PlannedRequest request = call.request();
    return client
        .send(request.method(), entry, request.target(), headers(request, call.ticket()))
        .thenCompose(answer -> handleAnswer(call, attempt, entry, answer));
  }

  private CompletableFuture<Result> handleAnswer(
      Call call, int attempt, String entry, Answer answer) {
    boolean mayHaveRun = call.mayHaveRun() || !answer.isNotRun();
    boolean repeatable = call.request().idempotent() || call.ticket() != null;
    boolean retry = answer.status() == 0 && (repeatable || !mayHaveRun);
    if (retry && attempt + 1 < MAX_ATTEMPTS) {
      lookUps.remove(cacheKey(call.request()));
      Call repeated = new Call(call.request(), call.entries(), call.ticket(), mayHaveRun);
      return attempt(repeated, attempt + 1);
    }
    Outcome outcome = answer.outcome();
    // "Not run" covers only the last attempt; an earlier attempt without answer may have run.
    if (outcome == Outcome.REFUSED && call.mayHaveRun()) {
      outcome = Outcome.UNKNOWN;
    }
    return CompletableFuture.completedFuture(
        new Result(outcome, answer.status(), code(answer), entry, answer.matches(call.request())));
  }

  private Map<String, String> headers(PlannedRequest request, String ticket) {
    Map<String, String> headers = new HashMap<>();
    headers.put("X-Caller-Request-Id", request.id());
    if (!request.open()) {
      headers.put("Authorization", "Bearer " + keys.get(request.customer()));
    }
    if (ticket != null) {
      headers.put("Toucanrack-Ticket", ticket);
    }
    return headers;
  }

  private CompletableFuture<String> fetchTicket(
      PlannedRequest request, List<String> entries, int attempt) {
    String entry = entries.get(attempt % entries.size());
    return client
        .send("GET", entry, lookUpTarget(request) + "&ticket=true", Map.of())
        .thenCompose(
            answer -> {
              String ticket = parse(answer).path("ticket").asText(null);
              return ticket == null && attempt + 1 < MAX_ATTEMPTS
                  ? fetchTicket(request, entries, attempt + 1)
                  : CompletableFuture.completedFuture(ticket);
            });
  }

  private CompletableFuture<LookUp> lookUp(PlannedRequest request) {
    return lookUps.compute(
        cacheKey(request),
        (key, cached) -> {
          if (cached != null && (!cached.isDone() || isFresh(cached.join()))) {
            return cached;
          }
          int startIndex = Math.floorMod(key.hashCode(), bootstrapEntries.size());
          return fetchLookUp(request, startIndex, 0);
        });
  }

  private CompletableFuture<LookUp> fetchLookUp(
      PlannedRequest request, int startIndex, int attempt) {
    String entry = bootstrapEntries.get((startIndex + attempt) % bootstrapEntries.size());
    return client
        .send("GET", entry, lookUpTarget(request), Map.of())
        .thenCompose(
            answer -> {
              JsonNode body = parse(answer);
              List<String> entries = new ArrayList<>();
              body.path("entries").forEach(node -> entries.add(node.asText()));
              if (entries.isEmpty() && attempt + 1 < bootstrapEntries.size()) {
                return fetchLookUp(request, startIndex, attempt + 1);
              }
              long ttl = TimeUnit.SECONDS.toNanos(body.path("ttlSeconds").asLong(1));
              return CompletableFuture.completedFuture(
                  new LookUp(List.copyOf(entries), System.nanoTime() + ttl));
            });
  }

  private static boolean isFresh(LookUp lookUp) {
    return System.nanoTime() - lookUp.expiresNanos() < 0;
  }

  private static String cacheKey(PlannedRequest request) {
    return request.service() + " " + request.customer();
  }

  /** Builds the look-up target; each customer uses its own client address. */
  private String lookUpTarget(PlannedRequest request) {
    int customerIndex = customerIndexes.getOrDefault(request.customer(), 0);
    return "/_toucanrack/lookup?service="
        + request.service()
        + "&client=10.0."
        + customerIndex
        + ".1";
  }

  private static String code(Answer answer) {
    return answer.outcome() == Outcome.ANSWERED ? "" : parse(answer).path("code").asText("");
  }

  private static JsonNode parse(Answer answer) {
    try {
      JsonNode node = JSON.readTree(answer.body());
      return node == null ? JSON.createObjectNode() : node;
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }
}
