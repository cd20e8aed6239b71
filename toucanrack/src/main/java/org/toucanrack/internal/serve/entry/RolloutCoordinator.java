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
  private final Map<ServiceId, RolloutTracker> trackers = new HashMap<>();
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

  /**
   * Forgets which reports the store has, since it came back from a copy. The phases stay, and are
   * reported again where the store lacks them.
   */
  void forgetReports() {
    reported.clear();
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
          Optional.ofNullable(trackers.get(service))
              .ifPresent(tracker -> applyReport(tracker, decoded, nowNanos));
        });
  }

  private void applyReport(RolloutTracker tracker, RolloutReport report, long nowNanos) {
    if (!tracker.order().to().equals(report.progress().to())) {
      return;
    }
    Phase before = tracker.phase();
    if (report.startTime().isPresent() && storeTime.get().isPresent()) {
      Duration age = storeTime.get().get().minus(report.startTime().get());
      tracker.observeElapsed(age.toNanos(), nowNanos);
    }
    tracker.observeStoredPhase(report.progress().phase(), nowNanos);
    logChange(tracker, before, "store");
  }

  /** Starts tracking new orders and stops tracking orders that are gone. */
  void updateOrders(List<RolloutOrder> orders, long nowNanos) {
    Set<ServiceId> orderedServices = new HashSet<>();
    for (RolloutOrder order : orders) {
      orderedServices.add(order.service());
      RolloutTracker tracker = trackers.get(order.service());
      if (tracker == null || !tracker.order().equals(order)) {
        RolloutTracker newTracker = new RolloutTracker(order, allowedShare, nowNanos);
        trackers.put(order.service(), newTracker);
        Optional.ofNullable(reported.get(order.service()))
            .ifPresent(known -> applyReport(newTracker, known, nowNanos));
      }
    }
    trackers.keySet().retainAll(orderedServices);
  }

  /**
   * Applies another VM's heartbeat: for how long rollouts have been running or ramping up, and
   * which ones it has reverted.
   */
  void heartbeatReceived(EntryHeartbeat heartbeat, long nowNanos) {
    for (VersionEvidence evidence : heartbeat.getEvidenceList()) {
      RolloutTracker tracker = trackers.get(new ServiceId(evidence.getService()));
      if (tracker != null && tracker.order().to().value().equals(evidence.getVersion())) {
        tracker.observeElapsed(
            TimeUnit.MILLISECONDS.toNanos(evidence.getElapsedMillis()), nowNanos);
        if (evidence.getMoving()) {
          tracker.observeRampUp(
              TimeUnit.MILLISECONDS.toNanos(evidence.getMovingMillis()), nowNanos);
        }
        if (evidence.getReverted()) {
          conclude(tracker, Phase.REVERTED, "peer " + heartbeat.getVm());
        }
      }
    }
  }

  /** Judges all rollouts; returns whether a phase changed. */
  boolean judge(Iterable<EntryHeartbeat> others, long nowNanos) {
    boolean changed = false;
    for (RolloutTracker tracker : trackers.values()) {
      Phase before = tracker.phase();
      Map<String, TrialEvidence> byRoute = evidence(tracker, others);
      tracker.judge(byRoute, nowNanos);
      if (tracker.phase() != before) {
        changed = true;
        log.event(
            "rollout-judged",
            "service",
            tracker.order().service(),
            "to",
            tracker.order().to(),
            "phase",
            tracker.phase(),
            "elapsed_ms",
            TimeUnit.NANOSECONDS.toMillis(tracker.elapsedNanos(nowNanos)),
            "evidence",
            byRoute);
      }
    }
    return changed;
  }

  private Map<String, TrialEvidence> evidence(
      RolloutTracker tracker, Iterable<EntryHeartbeat> others) {
    Map<String, TrialEvidence> byRoute = new HashMap<>();
    ownEvidence.forEach(
        (key, evidence) -> {
          if (key.service().equals(tracker.order().service())) {
            byRoute.merge(key.route(), evidence, TrialEvidence::plus);
          }
        });
    for (EntryHeartbeat heartbeat : others) {
      for (VersionEvidence evidence : heartbeat.getEvidenceList()) {
        if (evidence.getService().equals(tracker.order().service().value())
            && evidence.getVersion().equals(tracker.order().to().value())) {
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
    trackers.forEach((service, tracker) -> trials.put(service, tracker.trial(nowNanos)));
    return trials;
  }

  /**
   * Adds the state of each rollout to a heartbeat and, until the rollout is concluded, the evidence
   * of this VM by route.
   */
  void addEvidenceTo(EntryHeartbeat.Builder heartbeat, long nowNanos) {
    for (RolloutTracker tracker : trackers.values()) {
      VersionEvidence.Builder summary =
          VersionEvidence.newBuilder()
              .setService(tracker.order().service().value())
              .setVersion(tracker.order().to().value())
              .setReverted(tracker.phase() == Phase.REVERTED)
              .setMoving(tracker.phase() == Phase.MOVING)
              .setMovingMillis(
                  (int) TimeUnit.NANOSECONDS.toMillis(tracker.rampUpElapsedNanos(nowNanos)))
              .setElapsedMillis(
                  (int) TimeUnit.NANOSECONDS.toMillis(tracker.elapsedNanos(nowNanos)));
      if (tracker.phase().isFinal()) {
        heartbeat.addEvidence(summary);
        continue;
      }
      heartbeat.addEvidence(summary);
      ownEvidence.forEach(
          (key, evidence) -> {
            if (key.service().equals(tracker.order().service())) {
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
    return trackers.values().stream()
        .filter(tracker -> isUnreported(progress(tracker), reported.get(tracker.order().service())))
        .map(tracker -> new RolloutReport(progress(tracker), startTime(tracker, nowNanos)))
        .toList();
  }

  private static RolloutProgress progress(RolloutTracker tracker) {
    return new RolloutProgress(tracker.order().service(), tracker.order().to(), tracker.phase());
  }

  private Optional<Duration> startTime(RolloutTracker tracker, long nowNanos) {
    return storeTime.get().map(time -> time.minusNanos(tracker.elapsedNanos(nowNanos)));
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

  private void conclude(RolloutTracker tracker, Phase phase, String source) {
    Phase before = tracker.phase();
    tracker.observeConclusion(phase);
    logChange(tracker, before, source);
  }

  private void logChange(RolloutTracker tracker, Phase before, String source) {
    if (tracker.phase() != before) {
      log.event(
          "rollout-concluded",
          "service",
          tracker.order().service(),
          "to",
          tracker.order().to(),
          "phase",
          tracker.phase(),
          "source",
          source);
    }
  }
}
