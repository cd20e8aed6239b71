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
  private static final Duration MAX_CALL_DURATION = Duration.ofMinutes(10);
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  /** Below the maximum size of a message between VMs, with room for headers. */
  private static final int MAX_RESPONSE_BYTES = 15 << 20;

  private static final int MAX_CANCEL_RESPONSE_BYTES = 64 << 10;
  private static final ForwardAnswer CANCELLED =
      ForwardAnswers.mayHaveRun(
          ErrorCode.OUTCOME_UNKNOWN, "The request was cancelled while it ran.");

  private final Eventloop loop;
  private final LongSupplier clock;
  private final Consumer<BackendServerId> onDraining;
  private final BackendConnectionTracker connectionTracker = new BackendConnectionTracker();
  private final HttpClient client;

  /** Creates a client that reports backend servers whose responses announce draining. */
  BackendClient(Eventloop loop, LongSupplier clock, Consumer<BackendServerId> onDraining) {
    this.loop = loop;
    this.clock = clock;
    this.onDraining = onDraining;
    TcpSocket.Inspector socketInspector = connectionTracker.socketInspector();
    this.client =
        HttpClient.builder(loop, new IpLiteralResolver())
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withReadWriteTimeout(MAX_CALL_DURATION)
            .withMaxBodySize(MAX_RESPONSE_BYTES)
            .withInspector(connectionTracker.clientInspector())
            .withSocketInspector(socketInspector)
            // ActiveJ 6.0-rc2 uses the inspector for TLS sockets on plain sockets.
            .withSocketSslInspector(socketInspector)
            .build();
  }

  /** Sends the request; the answer never completes exceptionally. */
  BackendCall call(BackendServer server, ForwardRequest request, long deadlineNanos) {
    BackendCall call = new BackendCall();
    loop.execute(() -> start(call, server, request, deadlineNanos));
    return call;
  }

  /** Ends a call early and asks the backend server to stop the request. Thread-safe. */
  void cancel(BackendCall call, BackendServer server, String requestId) {
    loop.execute(
        () -> {
          if (call.interrupt(CANCELLED)) {
            requestCancellation(call, server, requestId);
          }
        });
  }

  private void requestCancellation(BackendCall call, BackendServer server, String requestId) {
    loop.delayBackground(CANCEL_TIMEOUT, () -> call.stopped().complete(null));
    client
        .request(
            HttpRequest.post(
                    "http://" + server.host() + ":" + server.port() + "/cancel/" + requestId)
                .build())
        .then(response -> response.loadBody(MAX_CANCEL_RESPONSE_BYTES))
        .whenComplete(() -> call.stopped().complete(null));
  }

  private void start(
      BackendCall call, BackendServer server, ForwardRequest request, long deadlineNanos) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.getAsLong());
    if (remainingMillis <= 0) {
      call.abort(
          ForwardAnswers.notRun(
              ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before dispatch."));
      return;
    }
    HttpRequest httpRequest;
    try {
      httpRequest = build(server, request, remainingMillis);
    } catch (RuntimeException e) {
      call.abort(
          ForwardAnswers.notRun(
              ErrorCode.INVALID_REQUEST, "The request target is not a valid URL."));
      return;
    }
    httpRequest.attach(BackendCall.class, call);
    ScheduledRunnable timeout =
        loop.delay(remainingMillis, () -> call.abort(timeoutAnswer(server)));
    connectionTracker.track(call, () -> send(call, httpRequest, server));
    call.answer().whenComplete((answer, failure) -> timeout.cancel());
  }

  private void send(BackendCall call, HttpRequest httpRequest, BackendServer server) {
    client
        .request(httpRequest)
        .then(
            response ->
                response.loadBody(MAX_RESPONSE_BYTES).map(body -> toAnswer(response, server)))
        .subscribe(
            (answer, failure) -> {
              if (failure == null) {
                call.finish(answer);
              } else {
                call.abort(failureAnswer(call, server));
              }
            });
  }

  private static HttpRequest build(
      BackendServer server, ForwardRequest request, long remainingMillis) {
    String url = "http://" + server.host() + ":" + server.port() + request.getTarget();
    HttpRequest.Builder builder = HttpRequest.builder(HttpMethod.valueOf(request.getMethod()), url);
    for (HeaderField field : request.getHeadersList()) {
      builder.withHeader(HttpHeaders.of(field.getName()), field.getValue());
    }
    return builder
        .withHeader(HttpHeaders.of("Toucanrack-Request-Id"), request.getRequestId())
        .withHeader(
            HttpHeaders.of("Toucanrack-Deadline-Ms"),
            Long.toString(HopDeadline.forNextHop(remainingMillis)))
        .withHeader(HttpHeaders.of("Toucanrack-Customer"), request.getCustomer())
        .withBody(request.getBody().toByteArray())
        .build();
  }

  private ForwardAnswer toAnswer(HttpResponse response, BackendServer server) {
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

  private static ForwardAnswer failureAnswer(BackendCall call, BackendServer server) {
    ForwardAnswer answer =
        call.neverWritten()
            ? ForwardAnswers.notRun(
                ErrorCode.BACKEND_FAILED,
                "Backend server " + server.id() + " accepts no connection.")
            : ForwardAnswers.mayHaveRun(
                ErrorCode.BACKEND_FAILED, "Backend server " + server.id() + " did not answer.");
    return answer.toBuilder().setBackendServer(server.id().value()).build();
  }

  private static ForwardAnswer timeoutAnswer(BackendServer server) {
    return ForwardAnswers.mayHaveRun(
            ErrorCode.DEADLINE_EXCEEDED,
            "Backend server " + server.id() + " did not answer before the deadline.")
        .toBuilder()
        .setBackendServer(server.id().value())
        .build();
  }
}
