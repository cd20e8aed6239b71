package org.toucanrack.internal.serve.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.coordination.admission.ReportedLoad;
import org.toucanrack.internal.coordination.admission.ReportedLoad.Figure;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * Reads the load and the pace that servers report in their answers. Confined to the traffic thread.
 */
final class ServerLoadReader {

  /** Shortest time between two log lines about one server, since answers may differ each time. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int MAX_LOGGED_CHARACTERS = 60;

  private final String fieldName;
  private final DecisionLog log;
  private final SteeringReporter steeringReporter;

  /** Servers with malformed figures; weak, so that servers that have gone are forgotten. */
  private final Map<ServerState, Complaint> complaints = new WeakHashMap<>();

  private record Complaint(Set<Figure> malformed, long loggedNanos) {}

  ServerLoadReader(String fieldName, DecisionLog log, SteeringReporter steeringReporter) {
    this.fieldName = fieldName;
    this.log = log;
    this.steeringReporter = steeringReporter;
  }

  /** Records the load and the pace in an answer; an answer without the field says nothing. */
  void record(ServerState server, HttpMessage answer, long nowNanos) {
    Optional<String> value = answer.field(fieldName);
    if (value.isEmpty()) {
      return;
    }
    ReportedLoad reported = ReportedLoad.parse(value.get());
    reported
        .requests()
        .ifPresent(
            requests -> {
              steeringReporter.recordLoad(server, requests, nowNanos);
              server.recordReportedLoad(requests, nowNanos);
            });
    reported.pace().ifPresent(pace -> server.recordPace(pace, nowNanos));
    if (!reported.malformed().isEmpty()) {
      complain(server, reported.malformed(), value.get(), nowNanos);
    } else {
      complaints.computeIfPresent(
          server, (key, last) -> new Complaint(Set.of(), last.loggedNanos()));
    }
  }

  private void complain(ServerState server, Set<Figure> malformed, String value, long nowNanos) {
    Complaint last = complaints.get(server);
    if (last != null
        && (last.malformed().equals(malformed)
            || nowNanos - last.loggedNanos() < LOG_INTERVAL_NANOS)) {
      return;
    }
    complaints.put(server, new Complaint(malformed, nowNanos));
    log.event(
        "load-unreadable",
        "server",
        server.announced().id(),
        "ignored",
        malformed,
        "value",
        value.substring(0, Math.min(MAX_LOGGED_CHARACTERS, value.length())));
  }
}
