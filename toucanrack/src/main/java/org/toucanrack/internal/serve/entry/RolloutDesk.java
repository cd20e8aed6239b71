package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.steer.RolloutPlan;
import org.toucanrack.internal.coordination.steer.TrialEvidence;
import org.toucanrack.internal.coordination.steer.TrialEvidence.Tally;
import org.toucanrack.internal.coordination.steer.VersionTrial;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.VersionEvidence;
import org.toucanrack.steering.FactDecoder;
import org.toucanrack.steering.RolloutOrder;
import org.toucanrack.steering.RolloutOutcome;
import org.toucanrack.steering.RolloutOutcome.Phase;
import org.toucanrack.steering.SharedRow;

/**
 * Carries rollouts on: adds up the evidence of all VMs, judges it, and says what is to be reported.
 * Confined to the control thread.
 */
final class RolloutDesk {

  private final double allowedShare;
  private final FactDecoder decoder;
  private final DecisionLog log;
  private final Map<ServiceId, RolloutPlan> plans = new HashMap<>();
  private final Map<ServiceId, RolloutOutcome> reported = new HashMap<>();
  private Map<TrafficState.EvidenceKey, TrialEvidence> own = Map.of();

  RolloutDesk(double allowedShare, FactDecoder decoder, DecisionLog log) {
    this.allowedShare = allowedShare;
    this.decoder = decoder;
    this.log = log;
  }

  /** Takes over what this VM saw. */
  void ownEvidence(Map<TrafficState.EvidenceKey, TrialEvidence> newest) {
    own = newest;
  }

  /** Takes over the report of a rollout, which any VM may have written. */
  void report(SharedRow row) {
    if (row.isRemoved()) {
      return;
    }
    Optional<RolloutOutcome> outcome = decoder.report(row);
    outcome.ifPresent(
        read -> {
          reported.put(read.service(), read);
          RolloutPlan plan = plans.get(read.service());
          if (plan != null && plan.order().to().equals(read.to())) {
            Phase before = plan.phase();
            plan.reported(read.phase());
            logChange(plan, before, "store");
          }
        });
  }

  /** Starts plans for new orders and ends those without. */
  void orders(List<RolloutOrder> orders, long nowNanos) {
    Set<ServiceId> ordered = new HashSet<>();
    for (RolloutOrder order : orders) {
      ordered.add(order.service());
      RolloutPlan plan = plans.get(order.service());
      if (plan == null || !plan.order().equals(order)) {
        RolloutPlan fresh = new RolloutPlan(order, allowedShare, nowNanos);
        plans.put(order.service(), fresh);
        RolloutOutcome known = reported.get(order.service());
        if (known != null && known.to().equals(order.to())) {
          fresh.reported(known.phase());
        }
      }
    }
    plans.keySet().retainAll(ordered);
  }

  /** Learns from the heartbeat of another VM how long rollouts run, and faults that it found. */
  void heard(EntryHeartbeat heartbeat, long nowNanos) {
    for (VersionEvidence evidence : heartbeat.getEvidenceList()) {
      RolloutPlan plan = plans.get(new ServiceId(evidence.getService()));
      if (plan != null && plan.order().to().value().equals(evidence.getVersion())) {
        plan.elapsed(TimeUnit.MILLISECONDS.toNanos(evidence.getElapsedMillis()), nowNanos);
        if (evidence.getReverted()) {
          conclude(plan, Phase.REVERTED, "peer " + heartbeat.getVm());
        }
      }
    }
  }

  /** Judges all running rollouts; returns whether a phase changed. */
  boolean judge(Iterable<EntryHeartbeat> others, long nowNanos) {
    boolean changed = false;
    for (RolloutPlan plan : plans.values()) {
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

  private Map<String, TrialEvidence> evidence(RolloutPlan plan, Iterable<EntryHeartbeat> others) {
    Map<String, TrialEvidence> byRoute = new HashMap<>();
    own.forEach(
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

  /** Returns the trials as the traffic thread needs them. */
  Map<ServiceId, VersionTrial> trials(long nowNanos) {
    Map<ServiceId, VersionTrial> trials = new HashMap<>();
    plans.forEach((service, plan) -> trials.put(service, plan.trial(nowNanos)));
    return trials;
  }

  /** Adds what other VMs need to know to a heartbeat. */
  void describe(EntryHeartbeat.Builder heartbeat, long nowNanos) {
    for (RolloutPlan plan : plans.values()) {
      VersionEvidence.Builder base =
          VersionEvidence.newBuilder()
              .setService(plan.order().service().value())
              .setVersion(plan.order().to().value())
              .setReverted(plan.phase() == Phase.REVERTED)
              .setElapsedMillis((int) TimeUnit.NANOSECONDS.toMillis(plan.elapsedNanos(nowNanos)));
      if (plan.phase() != Phase.RUNNING) {
        heartbeat.addEvidence(base);
        continue;
      }
      heartbeat.addEvidence(base);
      own.forEach(
          (key, evidence) -> {
            if (key.service().equals(plan.order().service())) {
              heartbeat.addEvidence(
                  base.clone()
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

  /** Returns the outcomes that the store does not know yet. */
  List<RolloutOutcome> unreported() {
    return plans.values().stream()
        .map(plan -> new RolloutOutcome(plan.order().service(), plan.order().to(), plan.phase()))
        .filter(outcome -> isNews(outcome, reported.get(outcome.service())))
        .toList();
  }

  /** The first conclusion in the store is final, since servers are stopped on it. */
  private static boolean isNews(RolloutOutcome outcome, RolloutOutcome known) {
    boolean sameRollout = known != null && known.to().equals(outcome.to());
    return !sameRollout || (known.phase() == Phase.RUNNING && outcome.phase() != Phase.RUNNING);
  }

  private void conclude(RolloutPlan plan, Phase phase, String source) {
    Phase before = plan.phase();
    plan.learn(phase);
    logChange(plan, before, source);
  }

  private void logChange(RolloutPlan plan, Phase before, String source) {
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
