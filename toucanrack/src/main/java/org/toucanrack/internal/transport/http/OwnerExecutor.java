package org.toucanrack.internal.transport.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Customer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.dispatch.SlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.SlotRequest;
import org.toucanrack.internal.coordination.retry.RunningRequests;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;

/**
 * Runs requests on the backend servers whose slots this VM owns, for its own callers and for other
 * VMs alike. Thread-safe.
 */
final class OwnerExecutor {

  private static final double DEFAULT_WEIGHT = 1.0;
  private static final long MAX_DEADLINE_NANOS = 60_000_000_000L;

  private final TrafficCollaborators collaborators;
  private final List<BackendClient> clients;
  private final RunningRequests<DispatchedRequest> running =
      new RunningRequests<>(MAX_DEADLINE_NANOS);

  OwnerExecutor(TrafficCollaborators collaborators, List<BackendClient> clients) {
    this.collaborators = collaborators;
    this.clients = List.copyOf(clients);
  }

  /** Queues and runs the request; the answer never completes exceptionally. */
  CompletableFuture<ForwardAnswer> run(
      ForwardRequest request, long deadlineNanos, Optional<BackendServerId> avoidedServer) {
    SlotDispatcher dispatcher =
        collaborators.dispatchers().apply(new ServiceId(request.getService()));
    if (dispatcher == null) {
      return CompletableFuture.completedFuture(
          ForwardAnswers.notRun(
              ErrorCode.NO_CAPACITY, "This VM owns no backend server of the service."));
    }
    long now = collaborators.clock().getAsLong();
    DispatchedRequest dispatched =
        new DispatchedRequest(collaborators, dispatcher, request, deadlineNanos, this::clientOf);
    if (!running.start(request.getRequestId(), dispatched, now)) {
      return CompletableFuture.completedFuture(
          ForwardAnswers.notRun(
              ErrorCode.OUTCOME_UNKNOWN, "The request was cancelled before it came."));
    }
    dispatched.answer().whenComplete((answer, e) -> running.finish(request.getRequestId()));
    dispatcher.submit(slotRequest(request, deadlineNanos, avoidedServer), dispatched, now);
    return dispatched.answer();
  }

  /** Cancels a request; one that has not arrived yet will not run when it arrives. */
  void cancel(String requestId) {
    running
        .cancel(requestId, collaborators.clock().getAsLong())
        .ifPresent(DispatchedRequest::cancel);
  }

  /** Returns the number of requests that are queued or running on this VM. */
  int inFlight() {
    return running.size();
  }

  /**
   * Uses one event loop for each server, so that the number of its connections stays close to the
   * number of its slots.
   */
  private BackendClient clientOf(BackendServer server) {
    return clients.get(Math.floorMod(server.id().hashCode(), clients.size()));
  }

  private SlotRequest slotRequest(
      ForwardRequest request, long deadlineNanos, Optional<BackendServerId> avoidedServer) {
    CustomerId customer = new CustomerId(request.getCustomer());
    return new SlotRequest(
        request.getRequestId(),
        customer,
        weightOf(customer),
        nonEmpty(request.getVersion()).map(VersionId::new),
        nonEmpty(request.getBackendServer()).map(BackendServerId::new),
        avoidedServer,
        request.getOnlyIfFree(),
        deadlineNanos);
  }

  private double weightOf(CustomerId customer) {
    return collaborators
        .snapshot()
        .get()
        .configuration()
        .map(Configuration::deployment)
        .flatMap(deployment -> deployment.customer(customer))
        .map(Customer::weight)
        .orElse(DEFAULT_WEIGHT);
  }

  private static Optional<String> nonEmpty(String value) {
    return value.isEmpty() ? Optional.empty() : Optional.of(value);
  }
}
