package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Service;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.HeaderRules;
import org.toucanrack.internal.protocol.KeyNames;
import org.toucanrack.internal.protocol.RequestTarget;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.HeaderField;
import org.toucanrack.internal.state.ControlSnapshot;

/**
 * Admits callers' requests: checks the key, matches the route and sets the deadline. Thread-safe.
 */
final class Admission {

  static final CustomerId ANONYMOUS = new CustomerId("anonymous");
  private static final String BEARER_PREFIX = "Bearer ";

  private final TrafficCollaborators collaborators;
  private final AtomicLong requestSequence = new AtomicLong();
  private volatile CachedKeys cachedKeys;

  Admission(TrafficCollaborators collaborators) {
    this.collaborators = collaborators;
  }

  /** Either an admitted request or a refusal; the other component is null. */
  record Result(AdmittedRequest admitted, ForwardAnswer refusal) {}

  private record CachedKeys(Configuration configuration, KeyRing ring) {}

  Result admit(HttpRequest request, long arrivedNanos) {
    ControlSnapshot snapshot = collaborators.snapshot().get();
    if (!snapshot.ready() || snapshot.configuration().isEmpty()) {
      return refused(ErrorCode.NOT_READY, "This VM is not ready. Use another one.");
    }
    List<HeaderField> headers = HeaderRules.forBackend(MessageHeaders.of(request));
    if (leaksKey(request, headers)) {
      return refused(
          ErrorCode.INVALID_REQUEST,
          "Send the key in Authorization or X-Api-Key only, never in the query or in cookies.");
    }
    Configuration configuration = snapshot.configuration().get();
    ServicePath path = ServicePath.parse(request.getPathAndQuery());
    Optional<Service> service = serviceOf(configuration, path);
    Optional<Route> route =
        service.flatMap(found -> found.routeFor(request.getMethod().name(), decodedPath(path)));
    if (route.isEmpty()) {
      return refused(ErrorCode.UNKNOWN_ROUTE, "No declared route matches the method and path.");
    }
    if (!route.get().open() && keysAreStale(snapshot, configuration, service.get())) {
      return refused(
          ErrorCode.KEYS_NOT_FRESH, "This VM cannot tell which keys are revoked. Use another one.");
    }
    Optional<CustomerId> customer =
        route.get().open() ? Optional.of(ANONYMOUS) : customerOf(configuration, request);
    if (customer.isEmpty()) {
      return refused(ErrorCode.UNKNOWN_KEY, "The key is missing, unknown or revoked.");
    }
    return new Result(
        new AdmittedRequest(
            nextRequestId(snapshot),
            service.get(),
            route.get(),
            customer.get(),
            request.getMethod().name(),
            path.target(),
            headers,
            ByteString.EMPTY,
            arrivedNanos,
            arrivedNanos + timeoutNanos(route.get(), request)),
        null);
  }

  /**
   * Returns whether the query or a header carries a key, by a known key name or because it contains
   * the caller's secret.
   */
  private static boolean leaksKey(HttpRequest request, List<HeaderField> headers) {
    String target = request.getPathAndQuery();
    boolean hasKeyName =
        KeyNames.inQuery(target)
            || headers.stream()
                .filter(field -> field.getName().equalsIgnoreCase("cookie"))
                .anyMatch(field -> KeyNames.inCookies(field.getValue()));
    String secret = secretOf(request);
    return hasKeyName
        || (secret != null
            && !secret.isEmpty()
            && (RequestTarget.decode(target).orElse(target).contains(secret)
                || headers.stream().anyMatch(field -> field.getValue().contains(secret))));
  }

  private boolean keysAreStale(
      ControlSnapshot snapshot, Configuration configuration, Service service) {
    long age = snapshot.keyFreshness().ageNanos(collaborators.clock().getAsLong());
    return !service.serveKeyedWhenCutOff()
        && age > configuration.deployment().rules().keyFreshness().toNanos();
  }

  private static Optional<Service> serviceOf(Configuration configuration, ServicePath path) {
    return configuration.deployment().services().stream()
        .filter(candidate -> candidate.id().value().equals(path.service()))
        .findFirst();
  }

  /** Backend servers decode paths, so the route must match the decoded path. */
  private static String decodedPath(ServicePath path) {
    return RequestTarget.decode(path.path()).orElse(path.path());
  }

  private static long timeoutNanos(Route route, HttpRequest request) {
    String requestedMillis = request.getHeader(HttpHeaders.of("Toucanrack-Deadline-Ms"));
    long routeTimeoutNanos = route.timeout().toNanos();
    if (requestedMillis == null || !requestedMillis.matches("[0-9]{1,9}")) {
      return routeTimeoutNanos;
    }
    return Math.min(
        routeTimeoutNanos, TimeUnit.MILLISECONDS.toNanos(Long.parseLong(requestedMillis)));
  }

  private String nextRequestId(ControlSnapshot snapshot) {
    return snapshot.self().incarnation().vm()
        + "."
        + Long.toHexString(snapshot.self().incarnation().number())
        + "."
        + requestSequence.incrementAndGet();
  }

  private Optional<CustomerId> customerOf(Configuration configuration, HttpRequest request) {
    return Optional.ofNullable(secretOf(request)).flatMap(keysOf(configuration)::customerOf);
  }

  private static String secretOf(HttpRequest request) {
    String bearer = request.getHeader(HttpHeaders.AUTHORIZATION);
    return bearer != null && bearer.startsWith(BEARER_PREFIX)
        ? bearer.substring(BEARER_PREFIX.length()).strip()
        : request.getHeader(HttpHeaders.of("X-Api-Key"));
  }

  private KeyRing keysOf(Configuration configuration) {
    CachedKeys current = cachedKeys;
    if (current == null || current.configuration() != configuration) {
      current = new CachedKeys(configuration, new KeyRing(configuration.keys()));
      cachedKeys = current;
    }
    return current.ring();
  }

  private static Result refused(ErrorCode code, String message) {
    return new Result(null, ForwardAnswers.notRun(code, message));
  }
}
