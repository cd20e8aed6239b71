package org.toucanrack.internal.transport.http;

import java.lang.System.Logger;
import java.util.concurrent.CompletionStage;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/** Sends admitted requests to owners of backend servers, here or on other VMs. Thread-safe. */
final class RequestSender {

  private static final Logger LOGGER = System.getLogger(RequestSender.class.getName());

  private final TrafficCollaborators collaborators;
  private final Routing routing;
  private final AttemptSender attempts;
  private final ServiceRetries retries = new ServiceRetries();
  private final Timers timers;

  RequestSender(
      TrafficCollaborators collaborators, Routing routing, AttemptSender attempts, Timers timers) {
    this.collaborators = collaborators;
    this.routing = routing;
    this.attempts = attempts;
    this.timers = timers;
  }

  /** The answer never completes exceptionally. */
  CompletionStage<ForwardAnswer> send(AdmittedRequest request) {
    collaborators
        .shiftGate()
        .recordArrival(request.service().id(), collaborators.clock().getAsLong());
    return new Attempts(collaborators, routing, attempts, retries, timers, request).start();
  }
}
