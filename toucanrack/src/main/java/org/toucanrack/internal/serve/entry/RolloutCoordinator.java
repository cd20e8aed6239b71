package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.RolloutTracker;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Tally;
import org.toucanrack.internal.coordination.steer.VersionTrial;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.VersionEvidence;
import org.toucanrack.steering.RolloutOrder;
import org.toucanrack.steering.RolloutProgress;
import org.toucanrack.steering.RolloutProgress.Phase;
import org.toucanrack.steering.RolloutReport;
import org.toucanrack.steering.RowCodec;
import org.toucanrack.steering.SharedRow;

/**
 * Advances rollouts: aggregates the evidence of all VMs, judges it, and determines which phases are
 * to be reported to the store. Confined to the control thread.
 */
final class RolloutCoordinator {

  private final double allowedShare;
  private final RowCodec codec;
  private final DecisionLog log;
  private final Map<ServiceId, RolloutTracker> plans = new HashMap<>();
  private final Supplier<Optional<Duration>> storeTime;
  private final Map<ServiceId, RolloutReport> reported = new HashMap<>();
  private Map<TrafficState.EvidenceKey, TrialEvidence> ownEvidence = Map.of();

  RolloutCoordinator(
      double allowedShare,
      RowCodec codec,
      Supplier<Optional<Duration>> storeTime,
      DecisionLog log) {
    this.allowedShare = allowedShare;
    this.codec = codec;
    this.storeTime = storeTime;
    this.log = log;
  }

  /** Replaces the evidence that this VM collected itself. */
  void updateOwnEvidence(Map<TrafficState.EvidenceKey, TrialEvidence> newEvidence) {
    ownEvidence = newEvidence;
  }

  /** Applies a report row of a rollout, which any VM may have written. */
  void applyReport(SharedRow row, long nowNanos) {
    if (row.isRemoved()) {
      return;
    }
    Optional<RolloutReport> report = codec.decodeReport(row);
    report.ifPresent(
        decoded -> {
          ServiceId service = decoded.progress().service();
          reported.put(service, decoded);
          Optional.ofNullable(plans.get(service))
              .ifPresent(plan -> applyReport(plan, decoded, nowNanos));
        });
  }

  private void applyReport(RolloutTracker plan, RolloutReport report, long nowNanos) {
    if (!plan.order().to().equals(report.progress().to())) {
      return;
    }
    Phase before = plan.phase();
    if (report.startTime().isPresent() && storeTime.get().isPresent()) {
      Duration age = storeTime.get().get().minus(report.startTime().get());
      plan.observeElapsed(age.toNanos(), nowNanos);
    }
    plan.observeStoredPhase(report.progress().phase(), nowNanos);
    logChange(plan, before, "store");
  }

  /** Starts plans for new orders and drops plans whose order is gone. */
  void updateOrders(List<RolloutOrder> orders, long nowNanos) {
    Set<ServiceId> orderedServices = new HashSet<>();
    for (RolloutOrder order : orders) {
      orderedServices.add(order.service());
      RolloutTracker plan = plans.get(order.service());
      if (plan == null || !plan.order().equals(order)) {
        RolloutTracker newPlan = new RolloutTracker(order, allowedShare, nowNanos);
        plans.put(order.service(), newPlan);
        Optional.ofNullable(reported.get(order.service()))
            .ifPresent(known -> applyReport(newPlan, known, nowNanos));
      }
    }
    plans.keySet().retainAll(orderedServices);
  }

  /**
   * Applies another VM's heartbeat: for how long rollouts have run or moved, and which ones it has
   * reverted.
   */
  void heartbeatReceived(EntryHeartbeat heartbeat, long nowNanos) {
    for (VersionEvidence evidence : heartbeat.getEvidenceList()) {
      RolloutTracker plan = plans.get(new ServiceId(evidence.getService()));
      if (plan != null && plan.order().to().value().equals(evidence.getVersion())) {
        plan.observeElapsed(TimeUnit.MILLISECONDS.toNanos(evidence.getElapsedMillis()), nowNanos);
        if (evidence.getMoving()) {
          plan.observeRampUp(TimeUnit.MILLISECONDS.toNanos(evidence.getMovingMillis()), nowNanos);
        }
        if (evidence.getReverted()) {
          conclude(plan, Phase.REVERTED, "peer " + heartbeat.getVm());
        }
      }
    }
  }

  /** Judges all rollouts; returns whether a phase changed. */
  boolean judge(Iterable<EntryHeartbeat> others, long nowNanos) {
    boolean changed = false;
    for (RolloutTracker plan : plans.values()) {
      Phase before = plan.phase();
      Map<String, TrialEvidence> byRoute = evidence(plan, others);
      plan.judge(byRoute, nowNanos);
      if (plan.phase() != before) {
        changed = true;
        log.event(
            "rollout-judged",
            "service",
            plan.order().service(),
            "to",
            plan.order().to(),
            "phase",
            plan.phase(),
            "elapsed_ms",
            TimeUnit.NANOSECONDS.toMillis(plan.elapsedNanos(nowNanos)),
            "evidence",
            byRoute);
      }
    }
    return changed;
  }

  private Map<String, TrialEvidence> evidence(
      RolloutTracker plan, Iterable<EntryHeartbeat> others) {
    Map<String, TrialEvidence> byRoute = new HashMap<>();
    ownEvidence.forEach(
        (key, evidence) -> {
          if (key.service().equals(plan.order().service())) {
            byRoute.merge(key.route(), evidence, TrialEvidence::plus);
          }
        });
    for (EntryHeartbeat heartbeat : others) {
      for (VersionEvidence evidence : heartbeat.getEvidenceList()) {
        if (evidence.getService().equals(plan.order().service().value())
            && evidence.getVersion().equals(plan.order().to().value())) {
          byRoute.merge(
              evidence.getRoute(),
              new TrialEvidence(
                  new Tally(
                      evidence.getTrialGood(), evidence.getTrialFailed(), evidence.getTrialSlow()),
                  new Tally(
                      evidence.getStableGood(),
                      evidence.getStableFailed(),
                      evidence.getStableSlow())),
              TrialEvidence::plus);
        }
      }
    }
    return byRoute;
  }

  /** Returns the trial of each service with a rollout, for the traffic thread. */
  Map<ServiceId, VersionTrial> trials(long nowNanos) {
    Map<ServiceId, VersionTrial> trials = new HashMap<>();
    plans.forEach((service, plan) -> trials.put(service, plan.trial(nowNanos)));
    return trials;
  }

  /**
   * Adds the state of each rollout to a heartbeat and, until the rollout is concluded, the evidence
   * of this VM by route.
   */
  void addEvidenceTo(EntryHeartbeat.Builder heartbeat, long nowNanos) {
    for (RolloutTracker plan : plans.values()) {
      VersionEvidence.Builder summary =
          VersionEvidence.newBuilder()
              .setService(plan.order().service().value())
              .setVersion(plan.order().to().value())
              .setReverted(plan.phase() == Phase.REVERTED)
              .setMoving(plan.phase() == Phase.MOVING)
              .setMovingMillis(
                  (int) TimeUnit.NANOSECONDS.toMillis(plan.rampUpElapsedNanos(nowNanos)))
              .setElapsedMillis((int) TimeUnit.NANOSECONDS.toMillis(plan.elapsedNanos(nowNanos)));
      if (plan.phase().isFinal()) {
        heartbeat.addEvidence(summary);
        continue;
      }
      heartbeat.addEvidence(summary);
      ownEvidence.forEach(
          (key, evidence) -> {
            if (key.service().equals(plan.order().service())) {
              heartbeat.addEvidence(
                  summary
                      .clone()
                      .setRoute(key.route())
                      .setTrialGood(evidence.trial().good())
                      .setTrialFailed(evidence.trial().failed())
                      .setTrialSlow(evidence.trial().slow())
                      .setStableGood(evidence.stable().good())
                      .setStableFailed(evidence.stable().failed())
                      .setStableSlow(evidence.stable().slow()));
            }
          });
    }
  }

  /** Returns the reports that are not in the store yet. */
  List<RolloutReport> unreported(long nowNanos) {
    return plans.values().stream()
        .filter(plan -> isUnreported(progress(plan), reported.get(plan.order().service())))
        .map(plan -> new RolloutReport(progress(plan), startTime(plan, nowNanos)))
        .toList();
  }

  private static RolloutProgress progress(RolloutTracker plan) {
    return new RolloutProgress(plan.order().service(), plan.order().to(), plan.phase());
  }

  private Optional<Duration> startTime(RolloutTracker plan, long nowNanos) {
    return storeTime.get().map(time -> time.minusNanos(plan.elapsedNanos(nowNanos)));
  }

  /**
   * Returns whether a phase is to be reported. The first final phase in the store is never
   * replaced, since servers are stopped because of it.
   */
  private static boolean isUnreported(RolloutProgress progress, RolloutReport known) {
    if (known == null || !known.progress().to().equals(progress.to())) {
      return true;
    }
    Phase reportedPhase = known.progress().phase();
    return !reportedPhase.isFinal() && progress.phase().compareTo(reportedPhase) > 0;
  }

  private void conclude(RolloutTracker plan, Phase phase, String source) {
    Phase before = plan.phase();
    plan.observeConclusion(phase);
    logChange(plan, before, source);
  }

  private void logChange(RolloutTracker plan, Phase before, String source) {
    if (plan.phase() != before) {
      log.event(
          "rollout-concluded",
          "service",
          plan.order().service(),
          "to",
          plan.order().to(),
          "phase",
          plan.phase(),
          "source",
          source);
    }
  }
}
