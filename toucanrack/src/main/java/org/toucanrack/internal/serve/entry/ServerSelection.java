package org.toucanrack.internal.serve.entry;

import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.admission.AdmissionRequest;
import org.toucanrack.internal.coordination.admission.ScarcityDecision;
import org.toucanrack.internal.coordination.admission.WaitLimit;
import org.toucanrack.internal.coordination.steer.ServerChooser;

/**
 * Chooses servers for requests within the limits of load shedding, and counts what is shed.
 * Confined to the traffic thread.
 */
final class ServerSelection {

  private final TrafficHandler handler;

  ServerSelection(TrafficHandler handler) {
    this.handler = handler;
  }

  /** Chooses a server for an attempt of a request; servers that were tried before are left out. */
  ServerChooser.Choice choose(
      AdmittedRequest request, Set<BackendServerId> triedServers, long now) {
    TrafficState state = handler.state();
    AdmissionRequest admissionRequest = admissionRequest(request);
    Optional<ScarcityDecision> scarcity = state.scarcity(request.service(), now);
    boolean wasScarce = scarcity.map(ScarcityDecision::isScarce).orElse(false);
    Optional<WaitLimit> waitLimit =
        scarcity.flatMap(decision -> decision.limit(admissionRequest, now));
    if (waitLimit.isPresent() != wasScarce) {
      handler.scarcityChanged(request.service(), waitLimit.isPresent());
    }
    ServerChooser.Choice choice =
        handler.choose(
            new ServerChooser.Attempt(
                request.service(),
                request.serviceRule(),
                request.objectId(),
                handler.allowedRegions(request).regions(),
                triedServers,
                request.route().latencyObjective().toNanos(),
                request.deadlineNanos() - now,
                state.priorityLevel(request.priority()),
                waitLimit),
            now);
    if (choice instanceof ServerChooser.Choice.Use use) {
      scarcity.ifPresent(
          decision -> decision.recordSent(admissionRequest, use.server().waitNanos(now)));
    } else {
      scarcity.ifPresent(decision -> decision.recordRefused(admissionRequest));
      if (waitLimit.isPresent()) {
        handler.countShed(request.service(), admissionRequest.rank());
      }
    }
    return choice;
  }

  /** Records how long a server worked on a request. */
  void recordAnswer(AdmittedRequest request, double serviceNanos, long now) {
    handler
        .state()
        .scarcity(request.service(), now)
        .ifPresent(decision -> decision.recordAnswer(admissionRequest(request), serviceNanos));
  }

  private AdmissionRequest admissionRequest(AdmittedRequest request) {
    return new AdmissionRequest(
        handler.state().priorityRank(request.priority()),
        request.customerName(),
        request.route().name(),
        request.route().latencyObjective().toNanos());
  }
}
