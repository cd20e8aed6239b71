package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * Sends requests to backend servers from one event loop.
 *
 * <p>Invariant: a connection on which a request ended without its complete response is closed.
 * {@link #call} is thread-safe; all else runs on the event loop.
 */
final class BackendClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration LONGEST_CALL = Duration.ofMinutes(10);
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final Eventloop loop;
  private final LongSupplier clock;
  private final BackendConnections connections = new BackendConnections();
  private final HttpClient client;

  BackendClient(Eventloop loop, LongSupplier clock) {
    this.loop = loop;
    this.clock = clock;
    TcpSocket.Inspector sockets = connections.socketInspector();
    this.client =
        HttpClient.builder(loop, new LiteralAddresses())
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withReadWriteTimeout(LONGEST_CALL)
            .withMaxBodySize(MAX_RESPONSE_BYTES)
            .withInspector(connections.clientInspector())
            .withSocketInspector(sockets)
            // ActiveJ 6.0-rc2 uses the inspector for TLS sockets on plain sockets.
            .withSocketSslInspector(sockets)
            .build();
  }

  /** Sends the request; the answer never completes exceptionally. */
  CompletableFuture<ForwardAnswer> call(
      BackendServer server, ForwardRequest request, long deadlineNanos) {
    BackendCall call = new BackendCall();
    loop.execute(() -> begin(call, server, request, deadlineNanos));
    return call.answer();
  }

  private void begin(
      BackendCall call, BackendServer server, ForwardRequest request, long deadlineNanos) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.getAsLong());
    if (leftMillis <= 0) {
      call.abort(
          Answers.notRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before dispatch."));
      return;
    }
    HttpRequest http;
    try {
      http = build(server, request, leftMillis);
    } catch (RuntimeException e) {
      call.abort(
          Answers.notRun(ErrorCode.INVALID_REQUEST, "The request target is not a valid URL."));
      return;
    }
    http.attach(BackendCall.class, call);
    ScheduledRunnable timeout = loop.delay(leftMillis, () -> call.abort(timedOut(server)));
    connections.start(call, () -> send(call, http, server));
    call.answer().whenComplete((answer, failure) -> timeout.cancel());
  }

  private void send(BackendCall call, HttpRequest http, BackendServer server) {
    client
        .request(http)
        .then(response -> response.loadBody(MAX_RESPONSE_BYTES).map(body -> read(response, server)))
        .subscribe(
            (answer, failure) -> {
              if (failure == null) {
                call.finish(answer);
              } else {
                call.abort(failed(call, server));
              }
            });
  }

  private static HttpRequest build(BackendServer server, ForwardRequest request, long leftMillis) {
    String url = "http://" + server.host() + ":" + server.port() + request.getTarget();
    HttpRequest.Builder builder = HttpRequest.builder(HttpMethod.valueOf(request.getMethod()), url);
    for (HeaderField field : request.getHeadersList()) {
      builder.withHeader(HttpHeaders.of(field.getName()), field.getValue());
    }
    return builder
        .withHeader(HttpHeaders.of("Toucanrack-Request-Id"), request.getRequestId())
        .withHeader(HttpHeaders.of("Toucanrack-Deadline-Ms"), Long.toString(leftMillis))
        .withHeader(HttpHeaders.of("Toucanrack-Customer"), request.getCustomer())
        .withBody(request.getBody().toByteArray())
        .build();
  }

  private static ForwardAnswer read(HttpResponse response, BackendServer server) {
    List<HeaderField> headers = MessageHeaders.of(response);
    return BackendResponse.toAnswer(
            response.getCode(), headers, ByteString.copyFrom(response.getBody().getArray()))
        .setBackendServer(server.id().value())
        .setVersion(server.version().value())
        .build();
  }

  private static ForwardAnswer failed(BackendCall call, BackendServer server) {
    return call.neverWritten()
        ? Answers.notRun(
            ErrorCode.BACKEND_FAILED, "Backend server " + server.id() + " accepts no connection.")
        : Answers.mayHaveRun(
            ErrorCode.BACKEND_FAILED, "Backend server " + server.id() + " did not answer.");
  }

  private static ForwardAnswer timedOut(BackendServer server) {
    return Answers.mayHaveRun(
        ErrorCode.DEADLINE_EXCEEDED,
        "Backend server " + server.id() + " did not answer before the deadline.");
  }
}
