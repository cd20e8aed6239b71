package org.toucanrack.bench.result;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.toucanrack.bench.load.Caller;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;

/**
 * Records the outcome of every request of a run. Recording is thread-safe; the getters may only be
 * used after the run.
 */
public final class Recorder {

  private static final int MAX_EXAMPLES_PER_KIND = 3;

  private final RequestStatistics all = new RequestStatistics();
  private final Map<String, RequestStatistics> byRoute = new TreeMap<>();
  private final Map<String, RequestStatistics> byCustomer = new TreeMap<>();
  private final Map<String, Integer> notAnswered = new TreeMap<>();
  private final Map<String, List<String>> notAnsweredExamples = new TreeMap<>();
  private final Set<String> notRunIds = new HashSet<>();
  private final Set<String> answeredIds = new HashSet<>();
  private int unfinished;
  private int crossedAnswers;

  /** Records the result of one request; the latency counts from its due time. */
  public synchronized void record(PlannedRequest request, Caller.Result result, long latencyNanos) {
    Outcome outcome = result.outcome();
    boolean withinRate = request.withinRate();
    all.record(outcome, withinRate, latencyNanos);
    byRoute
        .computeIfAbsent(request.routeName(), key -> new RequestStatistics())
        .record(outcome, withinRate, latencyNanos);
    byCustomer
        .computeIfAbsent(request.customer(), key -> new RequestStatistics())
        .record(outcome, withinRate, latencyNanos);
    crossedAnswers += result.matchesRequest() ? 0 : 1;
    if (outcome == Outcome.REFUSED) {
      notRunIds.add(request.id());
    }
    if (outcome == Outcome.ANSWERED) {
      answeredIds.add(request.id());
    } else {
      String code = result.code().isEmpty() ? "" : " " + result.code();
      String kind = outcome + " " + result.status() + code;
      if (notAnswered.merge(kind, 1, Integer::sum) <= MAX_EXAMPLES_PER_KIND) {
        notAnsweredExamples
            .computeIfAbsent(kind, key -> new ArrayList<>())
            .add(request.method() + " " + request.target() + " at " + result.servedBy());
      }
    }
  }

  /** Records the number of requests without an outcome at the end of the run. */
  public synchronized void recordUnfinished(int count) {
    unfinished = count;
  }

  /** Returns the statistics of all requests. */
  public RequestStatistics all() {
    return all;
  }

  /** Returns the statistics by route. */
  public Map<String, RequestStatistics> byRoute() {
    return byRoute;
  }

  /** Returns the statistics by customer. */
  public Map<String, RequestStatistics> byCustomer() {
    return byCustomer;
  }

  /** Returns the number of requests without a successful answer, by outcome, status and code. */
  public Map<String, Integer> notAnswered() {
    return notAnswered;
  }

  /** Returns the first few requests of each kind in {@link #notAnswered}. */
  public Map<String, List<String>> notAnsweredExamples() {
    return notAnsweredExamples;
  }

  /** Returns the ids of requests that were reported as not run. */
  public Set<String> notRunIds() {
    return notRunIds;
  }

  /** Returns the ids of requests that were answered. */
  public Set<String> answeredIds() {
    return answeredIds;
  }

  /** Returns the number of requests that received the answer to another request. */
  public int crossedAnswers() {
    return crossedAnswers;
  }

  /** Returns the number of requests without an outcome. */
  public int unfinished() {
    return unfinished;
  }

  /** Returns the number of requests that were refused although within their customers' rates. */
  public long refusedWithinRate() {
    return byCustomer.values().stream().mapToLong(RequestStatistics::refusedWithinRate).sum();
  }

  /**
   * Returns the served share of the worst-served customer relative to the mean of all customers.
   */
  public double worstServedShare() {
    double mean =
        byCustomer.values().stream()
            .mapToDouble(RequestStatistics::servedShare)
            .average()
            .orElse(1);
    double worst =
        byCustomer.values().stream().mapToDouble(RequestStatistics::servedShare).min().orElse(1);
    return mean == 0 ? 0 : worst / mean;
  }
}
