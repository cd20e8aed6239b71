package org.toucanrack.internal.serve.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.OptionalDouble;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.Exclusion;
import org.toucanrack.internal.transport.relay.ConnectionMemory;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;
import org.toucanrack.steering.UsageSink;

/** Counters and latency histograms of one VM. Thread-safe. */
final class EntryMetrics {

  private static final double MILLIS_PER_SECOND = 1000;

  /** Less urgent ranks are counted together, so that the number of time series is bounded. */
  private static final int MAX_RANK = 9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram latency =
      Histogram.builder()
          .name("toucanrack_request_seconds")
          .help("Time from the request to the answer, by route, customer and class of status.")
          .labelNames("route", "customer", "status")
          .classicOnly()
          .classicUpperBounds(0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 4)
          .register(registry);
  private final Counter refusals =
      Counter.builder()
          .name("toucanrack_refusals_total")
          .help("Requests refused before they reached a server, by reason.")
          .labelNames("reason")
          .register(registry);
  private final Counter choices =
      Counter.builder()
          .name("toucanrack_choices_total")
          .help("Choices of a backend server, by service and reason.")
          .labelNames("service", "reason")
          .register(registry);
  private final Counter shed =
      Counter.builder()
          .name("toucanrack_shed_total")
          .help("Requests shed while their service was scarce, by rank of their priority.")
          .labelNames("service", "priority")
          .register(registry);
  private final Counter scarcities =
      Counter.builder()
          .name("toucanrack_scarcity_changes_total")
          .help("Times at which a service became scarce, or ceased to be.")
          .labelNames("service", "change")
          .register(registry);
  private final Counter notices =
      Counter.builder()
          .name("toucanrack_server_notices_total")
          .help("Servers that said that they leave or asked for a pause, by kind of notice.")
          .labelNames("notice")
          .register(registry);
  private final Counter exclusions =
      Counter.builder()
          .name("toucanrack_excluded_servers_total")
          .help("Servers that could not get a request for which there was none, by reason.")
          .labelNames("reason")
          .register(registry);
  private final Histogram loadError =
      Histogram.builder()
          .name("toucanrack_server_load_error")
          .help("Load told by a server minus the load believed just before, in requests.")
          .labelNames("service")
          .classicOnly()
          .classicUpperBounds(-4, -2, -1, -0.5, 0.5, 1, 2, 4)
          .register(registry);
  private final Counter storeCalls =
      Counter.builder()
          .name("toucanrack_store_calls_total")
          .help("Calls of the platform's store for its tables, by table and outcome.")
          .labelNames("table", "outcome")
          .register(registry);

  private final Gauge storeEpoch =
      Gauge.builder()
          .name("toucanrack_store_epoch")
          .help("Epoch of the platform's store; rises with each restore of the store from a copy.")
          .register(registry);

  private final Counter pipelined =
      Counter.builder()
          .name("toucanrack_pipelined_requests_total")
          .help("Requests behind unanswered ones of their connection, by how they were handled.")
          .labelNames("handling")
          .register(registry);
  private final Histogram hold =
      Histogram.builder()
          .name("toucanrack_response_hold_seconds")
          .help("Time that complete responses waited for those of earlier requests.")
          .classicOnly()
          .classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4)
          .register(registry);

  private final Counter usageReports =
      Counter.builder()
          .name("toucanrack_usage_reports_total")
          .help("Usage reports sent to the platform, by outcome.")
          .labelNames("outcome")
          .register(registry);

  private final Gauge domainOverflow =
      Gauge.builder()
          .name("toucanrack_domain_overflow_share")
          .help("Share of the objects that leaves the failure domain, if it is used first.")
          .labelNames("service")
          .register(registry);

  private final Gauge connectionMemory =
      Gauge.builder()
          .name("toucanrack_connection_memory_bytes")
          .help("Memory that connections hold for received bytes, by peers and by state.")
          .labelNames("connections", "state")
          .register(registry);
  private final Gauge unsentResponses =
      Gauge.builder()
          .name("toucanrack_unsent_response_bytes")
          .help("Memory held for responses that callers have not accepted yet.")
          .register(registry);
  private final Counter stalledCallers =
      Counter.builder()
          .name("toucanrack_stalled_callers_total")
          .help(
              "Connections closed since their callers accepted no responses and memory was short.")
          .register(registry);
  private final Counter lookups =
      Counter.builder()
          .name("toucanrack_lookups_total")
          .help("Look-ups by where the named VMs run, as seen from the caller.")
          .labelNames("scope")
          .register(registry);
  private final TrafficBytes trafficBytes = new TrafficBytes();

  EntryMetrics() {
    CounterWithCallback.builder()
        .name("toucanrack_traffic_bytes_total")
        .help("Bytes sent, and received as answers to own calls, by purpose and distance.")
        .labelNames("purpose", "distance")
        .callback(
            callback ->
                trafficBytes.forEach(
                    (purpose, distance, bytes) ->
                        callback.call(bytes, purpose.label(), distance.label())))
        .register(registry);
  }

  /** Sets the memory held by the connections of callers, or by those to servers. */
  void setConnectionMemory(String connections, ConnectionMemory memory) {
    connectionMemory.labelValues(connections, "idle").set(memory.idleBytes());
    connectionMemory.labelValues(connections, "busy").set(memory.busyBytes());
  }

  void setUnsentResponseBytes(long bytes) {
    unsentResponses.set(bytes);
  }

  void countLookup(LookupAnswer.Scope scope) {
    lookups.labelValues(scope.label()).inc();
  }

  void countStalledCaller() {
    stalledCallers.inc();
  }

  /** Sets the share of a service's objects that leaves the failure domain; empty if by region. */
  void setDomainOverflow(ServiceId service, OptionalDouble share) {
    if (share.isPresent()) {
      domainOverflow.labelValues(service.value()).set(share.getAsDouble());
    } else {
      domainOverflow.remove(service.value());
    }
  }

  /** Returns the counters of transferred bytes. */
  TrafficBytes trafficBytes() {
    return trafficBytes;
  }

  void observeRequest(String route, String customer, int status, long millis) {
    latency.labelValues(route, customer, status / 100 + "xx").observe(millis / MILLIS_PER_SECOND);
  }

  void countRefusal(String reason) {
    refusals.labelValues(reason).inc();
  }

  void countChoice(ServiceId service, String reason) {
    choices.labelValues(service.value(), reason).inc();
  }

  void countShed(ServiceId service, int rank) {
    shed.labelValues(service.value(), String.valueOf(Math.min(MAX_RANK, rank))).inc();
  }

  void countScarcity(ServiceId service, boolean began) {
    scarcities.labelValues(service.value(), began ? "began" : "ended").inc();
  }

  void countNotice(String notice) {
    notices.labelValues(notice).inc();
  }

  void countExclusions(Exclusion reason, int servers) {
    exclusions.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc(servers);
  }

  void observeLoadError(ServiceId service, double error) {
    loadError.labelValues(service.value()).observe(error);
  }

  void countStoreCall(SharedTable table, String outcome) {
    storeCalls.labelValues(table.name(), outcome).inc();
  }

  void setStoreEpoch(StoreEpoch epoch) {
    storeEpoch.set(epoch.number());
  }

  void countPipelined(String handling) {
    pipelined.labelValues(handling).inc();
  }

  void observeHold(long millis) {
    hold.observe(millis / MILLIS_PER_SECOND);
  }

  void countUsageReport(UsageSink.Outcome outcome) {
    usageReports.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
  }

  byte[] scrape() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(true).write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
