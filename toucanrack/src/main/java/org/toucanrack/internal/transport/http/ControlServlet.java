package org.toucanrack.internal.transport.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.routing.ClientBlocks;
import org.toucanrack.internal.coordination.routing.LookUpOrder;
import org.toucanrack.internal.state.ControlSnapshot;

/** Answers look-ups and issues tickets. Thread-safe. */
final class ControlServlet {

  static final String PATH_PREFIX = "/_toucanrack/";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int IPV4_BYTES = 4;

  private final TrafficCollaborators collaborators;
  private final AttemptRouter router;
  private final TicketCoordinator tickets;
  private final Supplier<Optional<ClientBlocks>> clientBlocks;
  private final BooleanSupplier draining;

  ControlServlet(
      TrafficCollaborators collaborators,
      AttemptRouter router,
      TicketCoordinator tickets,
      Supplier<Optional<ClientBlocks>> clientBlocks,
      BooleanSupplier draining) {
    this.collaborators = collaborators;
    this.router = router;
    this.tickets = tickets;
    this.clientBlocks = clientBlocks;
    this.draining = draining;
  }

  HttpResponse serve(HttpRequest request) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    if (snapshot.configuration().isEmpty()) {
      return refused(ErrorCode.NOT_READY, "This VM has no configuration yet. Use another one.");
    }
    String path = request.getPath();
    if (path.equals(PATH_PREFIX + "lookup") && request.getMethod() == HttpMethod.GET) {
      return lookUp(request, snapshot, snapshot.configuration().get());
    }
    if (path.equals(PATH_PREFIX + "tickets") && request.getMethod() == HttpMethod.POST) {
      return HttpResponse.ok200().withJson(issueTicket().toString()).build();
    }
    return refused(ErrorCode.UNKNOWN_ROUTE, "Use GET lookup or POST tickets.");
  }

  private HttpResponse lookUp(
      HttpRequest request, ControlSnapshot snapshot, Configuration configuration) {
    String name = request.getQueryParameter("service");
    Optional<ServiceId> service =
        configuration.deployment().services().stream()
            .map(declared -> declared.id())
            .filter(id -> id.value().equals(name))
            .findFirst();
    if (service.isEmpty()) {
      return refused(ErrorCode.UNKNOWN_ROUTE, "No such service is declared.");
    }
    ObjectNode body =
        "true".equals(request.getQueryParameter("ticket"))
            ? issueTicket()
            : JSON.createObjectNode();
    body.put("service", name);
    body.put(
        "ttlSeconds",
        Math.max(1, configuration.deployment().rules().lookUpTimeToLive().toSeconds()));
    entries(service.get(), clientOf(request), snapshot).forEach(body.putArray("entries")::add);
    return HttpResponse.ok200().withJson(body.toString()).build();
  }

  private List<String> entries(ServiceId service, String client, ControlSnapshot snapshot) {
    List<FailureDomainId> preferred =
        clientBlocks
            .get()
            .flatMap(table -> ipv4AddressOf(client).flatMap(table::find))
            .orElse(List.of());
    String self = snapshot.self().callersAddress();
    return LookUpOrder.addresses(
            router.index(), service, preferred, snapshot.self().failureDomain(), client)
        .stream()
        .filter(entry -> !draining.getAsBoolean() || !entry.equals(self))
        .toList();
  }

  private ObjectNode issueTicket() {
    return JSON.createObjectNode().put("ticket", tickets.issue());
  }

  private static String clientOf(HttpRequest request) {
    String declaredClient = request.getQueryParameter("client");
    return declaredClient == null ? request.getRemoteAddress().getHostAddress() : declaredClient;
  }

  private static Optional<Integer> ipv4AddressOf(String client) {
    if (!client.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
      return Optional.empty();
    }
    try {
      byte[] bytes = InetAddress.getByName(client).getAddress();
      return bytes.length == IPV4_BYTES
          ? Optional.of(ByteBuffer.wrap(bytes).getInt())
          : Optional.empty();
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  private static HttpResponse refused(ErrorCode code, String message) {
    return CallerResponse.of(ForwardAnswers.notRun(code, message), false);
  }
}
