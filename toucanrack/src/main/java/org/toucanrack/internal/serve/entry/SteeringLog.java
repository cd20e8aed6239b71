package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.ChoiceStatistics;
import org.toucanrack.internal.coordination.steer.ServerChooser;
import org.toucanrack.internal.coordination.steer.ServerState;
import org.toucanrack.internal.observe.DecisionLog;

/**
 * Tells in logs and metrics what the choices of servers come to, by service. Confined to the
 * traffic thread.
 */
final class SteeringLog {

  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Map<ServiceId, ChoiceStatistics> tallies = new HashMap<>();

  SteeringLog(DecisionLog log, EntryMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Counts a choice. */
  void chosen(ServiceId service, ServerChooser.Choice choice) {
    tally(service).recordChoice(choice);
    metrics.chosen(service, choice.reason());
  }

  /** Counts the load that a server told, before it is believed. */
  void loadTold(ServerState server, int told, long nowNanos) {
    ServiceId service = server.announced().service();
    double believed = server.load(nowNanos);
    tally(service).recordReportedLoad(believed, told);
    metrics.loadTold(service, told - believed);
  }

  /** Logs the counts since the last report. */
  void report(ToDoubleFunction<ServiceId> shareAway) {
    tallies.forEach(
        (service, tally) -> {
          ChoiceStatistics.Report report = tally.snapshotAndReset();
          if (report.choices() > 0) {
            log.event(
                "steered",
                "service",
                service,
                "choices",
                report.choices(),
                "reasons",
                report.reasons(),
                "unknown_objects",
                report.affinityMisses(),
                "answers",
                report.loadReports(),
                "believed_load",
                report.estimatedLoad(),
                "told_load",
                report.reportedLoad(),
                "share_away",
                shareAway.applyAsDouble(service));
          }
        });
  }

  private ChoiceStatistics tally(ServiceId service) {
    return tallies.computeIfAbsent(service, id -> new ChoiceStatistics());
  }
}
