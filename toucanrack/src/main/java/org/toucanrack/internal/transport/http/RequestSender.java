package org.toucanrack.internal.transport.http;

import java.lang.System.Logger;
import java.util.concurrent.CompletionStage;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/**
 * Sends admitted requests to the owners of backend servers, on this VM or on others. Thread-safe.
 */
final class RequestSender {

  private static final Logger LOGGER = System.getLogger(RequestSender.class.getName());

  private final TrafficCollaborators collaborators;
  private final AttemptRouter router;
  private final AttemptSender attemptSender;
  private final ServiceRetries retries = new ServiceRetries();
  private final TaskScheduler scheduler;

  RequestSender(
      TrafficCollaborators collaborators,
      AttemptRouter router,
      AttemptSender attemptSender,
      TaskScheduler scheduler) {
    this.collaborators = collaborators;
    this.router = router;
    this.attemptSender = attemptSender;
    this.scheduler = scheduler;
  }

  /** Sends a request; the returned stage never completes exceptionally. */
  CompletionStage<ForwardAnswer> send(AdmittedRequest request) {
    collaborators
        .shiftGate()
        .recordArrival(request.service().id(), collaborators.clock().getAsLong());
    return new Attempts(collaborators, router, attemptSender, retries, scheduler, request).start();
  }
}
