package org.toucanrack.internal.transport.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Serves the operators' port. Liveness, readiness and metrics need no authentication; the status
 * and its page require the operator token if one is set.
 *
 * <p>Confined to the thread of its reactor.
 */
public final class OperatorServer {

  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

  private final ObjectMapper json = new ObjectMapper();
  private final PrometheusTextFormatWriter metricsWriter = new PrometheusTextFormatWriter(false);
  private final StatusPage page = new StatusPage();
  private final Supplier<VmStatus> status;
  private final PrometheusRegistry registry;
  private final OperatorToken token;
  private final HttpServer server;

  /** Creates a server; call {@link #listen} to start it. */
  public OperatorServer(
      NioReactor reactor,
      InetSocketAddress address,
      Optional<String> operatorToken,
      PrometheusRegistry registry,
      Supplier<VmStatus> status) {
    this.status = status;
    this.registry = registry;
    this.token = new OperatorToken(operatorToken);
    this.server =
        HttpServer.builder(reactor, routes(reactor))
            .withListenAddress(address)
            .withMaxBodySize(MAX_BODY_BYTES)
            .withReadWriteTimeout(IDLE_TIMEOUT)
            .withKeepAliveTimeout(IDLE_TIMEOUT)
            .build();
  }

  /** Starts listening. Call on the reactor's thread. */
  public void listen() {
    try {
      server.listen();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops listening. Call on the reactor's thread. */
  public Promise<?> close() {
    return server.close();
  }

  private AsyncServlet routes(NioReactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(HttpMethod.GET, "/healthz", request -> text(200, "alive\n").toPromise())
        .with(HttpMethod.GET, "/readyz", request -> readiness().toPromise())
        .with(HttpMethod.GET, "/metrics", request -> metricsText().toPromise())
        .with(HttpMethod.GET, "/status", requireToken(this::statusJson))
        .with(HttpMethod.GET, "/", requireToken(this::statusHtml))
        .build();
  }

  private AsyncServlet requireToken(Supplier<HttpResponse> response) {
    return request ->
        (isAuthorized(request) ? response.get() : text(401, "Send the operator's token.\n"))
            .toPromise();
  }

  private boolean isAuthorized(HttpRequest request) {
    return token.matches(request.getHeader(HttpHeaders.AUTHORIZATION));
  }

  private HttpResponse readiness() {
    return status.get().ready() ? text(200, "ready\n") : text(503, "not ready\n");
  }

  private HttpResponse metricsText() {
    try (ByteArrayOutputStream body = new ByteArrayOutputStream()) {
      metricsWriter.write(body, registry.scrape());
      return HttpResponse.ok200()
          .withHeader(HttpHeaders.CONTENT_TYPE, metricsWriter.getContentType())
          .withBody(body.toByteArray())
          .build();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpResponse statusJson() {
    try {
      return HttpResponse.ok200()
          .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
          .withBody(json.writeValueAsBytes(status.get()))
          .build();
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpResponse statusHtml() {
    return HttpResponse.ok200().withHtml(page.render(status.get())).build();
  }

  private static HttpResponse text(int code, String body) {
    return HttpResponse.ofCode(code).withPlainText(body).build();
  }
}
