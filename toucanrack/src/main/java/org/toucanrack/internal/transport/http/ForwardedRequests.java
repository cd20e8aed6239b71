package org.toucanrack.internal.transport.http;

import java.util.Optional;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.protocol.generated.ForwardRequest;

/** Converts messages from the VM that admitted a request back to admitted requests. Thread-safe. */
final class ForwardedRequests {

  private final TrafficCollaborators collaborators;

  ForwardedRequests(TrafficCollaborators collaborators) {
    this.collaborators = collaborators;
  }

  /** Returns the request, or empty if this VM's configuration lacks its route. */
  Optional<AdmittedRequest> toAdmitted(ForwardRequest message, long deadlineNanos) {
    RouteId routeId = new RouteId(message.getRoute());
    return collaborators
        .snapshot()
        .get()
        .configuration()
        .flatMap(
            configuration ->
                configuration.deployment().service(new ServiceId(message.getService())))
        .flatMap(
            service ->
                service.routes().stream()
                    .filter(route -> route.id().equals(routeId))
                    .findFirst()
                    .map(
                        route ->
                            new AdmittedRequest(
                                message.getRequestId(),
                                service,
                                route,
                                new CustomerId(message.getCustomer()),
                                message.getMethod(),
                                message.getTarget(),
                                message.getHeadersList(),
                                message.getBody(),
                                collaborators.clock().getAsLong(),
                                deadlineNanos)));
  }
}
