package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
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

  /** Smallest change of a share that is logged. */
  private static final double LOGGED_CHANGE = 0.05;

  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Map<ServiceId, ChoiceStatistics> statistics = new HashMap<>();
  private final Map<ServiceId, OptionalDouble> loggedShares = new HashMap<>();

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

  /**
   * Reports the share of each service's objects that leaves the failure domain, and logs it when it
   * has changed. Services that were always spread over the region are left out.
   */
  void reportPlacement(Function<ServiceId, OptionalDouble> domainOverflowShare) {
    for (ServiceId service : statistics.keySet()) {
      OptionalDouble share = domainOverflowShare.apply(service);
      OptionalDouble logged = loggedShares.getOrDefault(service, OptionalDouble.empty());
      metrics.setDomainOverflow(service, share);
      if (isChanged(logged, share)) {
        loggedShares.put(service, share);
        log.event(
            "domain-placement",
            "service",
            service,
            "by",
            share.isPresent() ? "domain" : "region",
            "share_away",
            share.orElse(0));
      }
    }
  }

  private static boolean isChanged(OptionalDouble logged, OptionalDouble share) {
    if (logged.isEmpty() || share.isEmpty()) {
      return logged.isPresent() != share.isPresent();
    }
    double change = Math.abs(share.getAsDouble() - logged.getAsDouble());
    return change >= LOGGED_CHANGE || change > 0 && share.getAsDouble() == 0;
  }

  private ChoiceStatistics statisticsOf(ServiceId service) {
    return statistics.computeIfAbsent(service, id -> new ChoiceStatistics());
  }
}
