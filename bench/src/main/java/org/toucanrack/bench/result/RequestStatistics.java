package org.toucanrack.bench.result;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.toucanrack.bench.load.Outcome;

/**
 * Outcome counts and latencies of a group of requests. Not thread-safe; guarded by its recorder.
 */
public final class RequestStatistics {

  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000;

  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private long withinRate;

  void record(Outcome outcome, boolean isWithinRate, long latencyNanos) {
    outcomes.merge(outcome, 1L, Long::sum);
    withinRate += isWithinRate ? 1 : 0;
    if (outcome == Outcome.ANSWERED) {
      long micros = Math.max(0, TimeUnit.NANOSECONDS.toMicros(latencyNanos));
      latency.recordValue(Math.min(MAX_LATENCY_MICROS, micros));
    }
  }

  /** Returns the number of requests with the given outcome. */
  public long count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }

  /** Returns the number of recorded requests. */
  public long sent() {
    return outcomes.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of requests sent within the customer's rate. */
  public long withinRate() {
    return withinRate;
  }

  /**
   * Returns the number of refusals of a customer's requests within its rate. If a customer exceeds
   * its rate, the system is free to choose which requests to refuse, so only the number of admitted
   * requests is compared.
   */
  public long refusedWithinRate() {
    long admitted = sent() - count(Outcome.REFUSED);
    return Math.max(0, withinRate - admitted);
  }

  /** Returns the ratio of answered requests to requests within the rate, at most 1. */
  public double servedShare() {
    return withinRate == 0 ? 1 : Math.min(1.0, (double) count(Outcome.ANSWERED) / withinRate);
  }

  /** Returns a latency percentile of the answered requests in milliseconds. */
  public double latencyMillisAt(double percentile) {
    return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns all figures by their keys in the JSON result. */
  public Map<String, Object> describe() {
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("sent", sent());
    for (Outcome outcome : Outcome.values()) {
      figures.put(outcome.name().toLowerCase(java.util.Locale.ROOT), count(outcome));
    }
    figures.put("withinRate", withinRate);
    figures.put("p50Millis", latencyMillisAt(50));
    figures.put("p99Millis", latencyMillisAt(99));
    figures.put("p999Millis", latencyMillisAt(99.9));
    return figures;
  }
}
