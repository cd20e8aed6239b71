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
 * Reports the choices of servers by service, in logs and metrics. Confined to the traffic thread.
 */
final class SteeringReporter {

  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Map<ServiceId, ChoiceStatistics> statistics = new HashMap<>();

  SteeringReporter(DecisionLog log, EntryMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  void recordChoice(ServiceId service, ServerChooser.Choice choice) {
    statisticsOf(service).recordChoice(choice);
    metrics.countChoice(service, choice.reason());
    if (choice instanceof ServerChooser.Choice.None none) {
      none.excluded().forEach(metrics::countExclusions);
    }
  }

  /** Counts the load that a server reports; to be called before the estimate is updated with it. */
  void recordLoad(ServerState server, int reportedLoad, long nowNanos) {
    ServiceId service = server.announced().service();
    double estimatedLoad = server.load(nowNanos);
    statisticsOf(service).recordReportedLoad(estimatedLoad, reportedLoad);
    metrics.observeLoadError(service, reportedLoad - estimatedLoad);
  }

  /** Logs the counts since the last report for each service with a choice. */
  void report(ToDoubleFunction<ServiceId> overflowShare) {
    statistics.forEach(
        (service, serviceStatistics) -> {
          ChoiceStatistics.Report report = serviceStatistics.snapshotAndReset();
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
                overflowShare.applyAsDouble(service));
          }
        });
  }

  private ChoiceStatistics statisticsOf(ServiceId service) {
    return statistics.computeIfAbsent(service, id -> new ChoiceStatistics());
  }
}
