package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.retry.HopDeadline;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.HeaderField;

/**
 * Sends requests to backend servers from one event loop.
 *
 * <p>Invariant: a connection on which a request ended without its complete response is closed.
 * {@link #call} and {@link #cancel} are thread-safe; all else runs on the event loop.
 */
final class BackendClient {

  private static final HttpHeader DRAINING = HttpHeaders.of("Toucanrack-Draining");
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration LONGEST_CALL = Duration.ofMinutes(10);
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  /** Below the longest message between VMs, with room for headers. */
  private static final int MAX_RESPONSE_BYTES = 15 << 20;

  private static final int MAX_CANCEL_RESPONSE_BYTES = 64 << 10;
  private static final ForwardAnswer CANCELLED =
      Answers.mayHaveRun(ErrorCode.OUTCOME_UNKNOWN, "The request was cancelled while it ran.");

  private final Eventloop loop;
  private final LongSupplier clock;
  private final Consumer<BackendServerId> onDraining;
  private final BackendConnections connections = new BackendConnections();
  private final HttpClient client;

  /** Creates a client that reports backend servers whose responses say that they drain. */
  BackendClient(Eventloop loop, LongSupplier clock, Consumer<BackendServerId> onDraining) {
    this.loop = loop;
    this.clock = clock;
    this.onDraining = onDraining;
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
  BackendCall call(BackendServer server, ForwardRequest request, long deadlineNanos) {
    BackendCall call = new BackendCall();
    loop.execute(() -> begin(call, server, request, deadlineNanos));
    return call;
  }

  /** Ends a call early and asks the backend server to stop the request. Thread-safe. */
  void cancel(BackendCall call, BackendServer server, String requestId) {
    loop.execute(
        () -> {
          if (call.interrupt(CANCELLED)) {
            askToStop(call, server, requestId);
          }
        });
  }

  private void askToStop(BackendCall call, BackendServer server, String requestId) {
    loop.delayBackground(CANCEL_TIMEOUT, () -> call.stopped().complete(null));
    client
        .request(
            HttpRequest.post(
                    "http://" + server.host() + ":" + server.port() + "/cancel/" + requestId)
                .build())
        .then(response -> response.loadBody(MAX_CANCEL_RESPONSE_BYTES))
        .whenComplete(() -> call.stopped().complete(null));
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
        .withHeader(
            HttpHeaders.of("Toucanrack-Deadline-Ms"),
            Long.toString(HopDeadline.forNextHop(leftMillis)))
        .withHeader(HttpHeaders.of("Toucanrack-Customer"), request.getCustomer())
        .withBody(request.getBody().toByteArray())
        .build();
  }

  private ForwardAnswer read(HttpResponse response, BackendServer server) {
    List<HeaderField> headers = MessageHeaders.of(response);
    if (response.hasHeader(DRAINING)) {
      onDraining.accept(server.id());
    }
    return BackendResponse.toAnswer(
            response.getCode(), headers, ByteString.copyFrom(response.getBody().getArray()))
        .setBackendServer(server.id().value())
        .setVersion(server.version().value())
        .build();
  }

  private static ForwardAnswer failed(BackendCall call, BackendServer server) {
    ForwardAnswer answer =
        call.neverWritten()
            ? Answers.notRun(
                ErrorCode.BACKEND_FAILED,
                "Backend server " + server.id() + " accepts no connection.")
            : Answers.mayHaveRun(
                ErrorCode.BACKEND_FAILED, "Backend server " + server.id() + " did not answer.");
    return answer.toBuilder().setBackendServer(server.id().value()).build();
  }

  private static ForwardAnswer timedOut(BackendServer server) {
    return Answers.mayHaveRun(
            ErrorCode.DEADLINE_EXCEEDED,
            "Backend server " + server.id() + " did not answer before the deadline.")
        .toBuilder()
        .setBackendServer(server.id().value())
        .build();
  }
}
