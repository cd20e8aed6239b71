package org.toucanrack.internal.serve;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.toucanrack.Verdict;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.transport.http.TrafficMetrics;
import org.toucanrack.internal.transport.operator.VmStatus;

/**
 * Records finished requests for Prometheus and for the status page.
 *
 * <p>Label values come from the configuration, which bounds the number of time series. Thread-safe.
 */
final class RequestMetrics implements TrafficMetrics {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30
  };

  private final Histogram durations;
  private final Counter requests;
  private final Map<CustomerId, CustomerMetrics> customers = new ConcurrentHashMap<>();

  RequestMetrics(PrometheusRegistry registry) {
    durations =
        Histogram.builder()
            .name("toucanrack_request_duration_seconds")
            .help("Time from the arrival of a caller's request to its answer.")
            .labelNames("service", "customer", "verdict")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);
    requests =
        Counter.builder()
            .name("toucanrack_requests_total")
            .help("Answered requests of callers by status code.")
            .labelNames("service", "customer", "code")
            .register(registry);
  }

  @Override
  public void finished(
      ServiceId service, CustomerId customer, int status, Verdict verdict, long latencyNanos) {
    durations
        .labelValues(service.value(), customer.value(), verdict.headerValue())
        .observe(latencyNanos / NANOS_PER_SECOND);
    requests.labelValues(service.value(), customer.value(), String.valueOf(status)).inc();
    customers.computeIfAbsent(customer, id -> new CustomerMetrics()).add(verdict, latencyNanos);
  }

  List<VmStatus.CustomerLine> customerLines() {
    return new TreeMap<>(customers)
        .entrySet().stream().map(entry -> entry.getValue().toLine(entry.getKey())).toList();
  }

  /** Request counts and latencies of one customer. Thread-safe. */
  private static final class CustomerMetrics {

    private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(2);
    private final Map<Verdict, LongAdder> counts = new ConcurrentHashMap<>();

    void add(Verdict verdict, long latencyNanos) {
      counts.computeIfAbsent(verdict, key -> new LongAdder()).increment();
      latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latencyNanos / 1000));
    }

    VmStatus.CustomerLine toLine(CustomerId customer) {
      return new VmStatus.CustomerLine(
          customer.value(),
          count(Verdict.RAN),
          count(Verdict.NOT_RUN),
          count(Verdict.MAY_HAVE_RUN),
          latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
          latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }

    private long count(Verdict verdict) {
      return counts.containsKey(verdict) ? counts.get(verdict).sum() : 0;
    }
  }
}
