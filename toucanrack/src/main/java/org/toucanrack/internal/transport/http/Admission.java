package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.state.ControlSnapshot;

/** Matches routes and checks keys. Thread-safe. */
final class Admission {

  static final CustomerId ANONYMOUS = new CustomerId("anonymous");
  private static final String BEARER = "Bearer ";

  private final TrafficCollaborators collaborators;
  private final AtomicLong sequence = new AtomicLong();
  private volatile KnownKeys known;

  Admission(TrafficCollaborators collaborators) {
    this.collaborators = collaborators;
  }

  /** An admitted request or a refusal; the other is null. */
  record Result(AdmittedRequest admitted, ForwardAnswer refusal) {}

  private record KnownKeys(Configuration configuration, KeyRing ring) {}

  Result admit(HttpRequest request, long nowNanos) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    if (!snapshot.ready() || snapshot.configuration().isEmpty()) {
      return refused(ErrorCode.NOT_READY, "This VM is not ready. Use another one.");
    }
    Configuration configuration = snapshot.configuration().get();
    ServicePath path = ServicePath.parse(request.getPathAndQuery());
    Optional<Service> service =
        configuration.deployment().services().stream()
            .filter(candidate -> candidate.id().value().equals(path.service()))
            .findFirst();
    Optional<Route> route =
        service.flatMap(found -> found.routeFor(request.getMethod().name(), path.path()));
    if (route.isEmpty()) {
      return refused(ErrorCode.UNKNOWN_ROUTE, "No declared route matches the method and path.");
    }
    Optional<CustomerId> customer =
        route.get().open() ? Optional.of(ANONYMOUS) : customerOf(configuration, request);
    if (customer.isEmpty()) {
      return refused(ErrorCode.UNKNOWN_KEY, "The key is missing, unknown or revoked.");
    }
    return new Result(
        new AdmittedRequest(
            nextId(snapshot),
            service.get(),
            route.get(),
            customer.get(),
            request.getMethod().name(),
            path.target(),
            List.of(),
            ByteString.EMPTY,
            nowNanos,
            nowNanos + route.get().timeout().toNanos()),
        null);
  }

  private String nextId(ControlSnapshot snapshot) {
    return snapshot.self().incarnation().vm()
        + "."
        + Long.toHexString(snapshot.self().incarnation().number())
        + "."
        + sequence.incrementAndGet();
  }

  private Optional<CustomerId> customerOf(Configuration configuration, HttpRequest request) {
    String bearer = request.getHeader(HttpHeaders.AUTHORIZATION);
    String secret =
        bearer != null && bearer.startsWith(BEARER)
            ? bearer.substring(BEARER.length())
            : request.getHeader(HttpHeaders.of("X-Api-Key"));
    return secret == null ? Optional.empty() : keysOf(configuration).customerOf(secret);
  }

  private KeyRing keysOf(Configuration configuration) {
    KnownKeys current = known;
    if (current == null || current.configuration() != configuration) {
      current = new KnownKeys(configuration, new KeyRing(configuration.keys()));
      known = current;
    }
    return current.ring();
  }

  private static Result refused(ErrorCode code, String message) {
    return new Result(null, Answers.notRun(code, message));
  }
}
