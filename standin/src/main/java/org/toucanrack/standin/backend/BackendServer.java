package org.toucanrack.standin.backend;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A simulated backend server on one port. It runs at most as many requests concurrently as it has
 * slots and sheds all others, logs each execution, and injects faults as instructed by {@code POST
 * /control}. Confined to the event loop.
 */
final class BackendServer implements AsyncServlet {

  private static final HttpHeader REQUEST_ID_HEADER = HttpHeaders.of("Toucanrack-Request-Id");
  private static final HttpHeader CALLER_ID_HEADER = HttpHeaders.of("X-Caller-Request-Id");
  private static final HttpHeader CUSTOMER_HEADER = HttpHeaders.of("Toucanrack-Customer");
  private static final HttpHeader DEADLINE_HEADER = HttpHeaders.of("Toucanrack-Deadline-Ms");
  private static final HttpHeader SHED_HEADER = HttpHeaders.of("Toucanrack-Shed");
  private static final HttpHeader DRAINING_HEADER = HttpHeaders.of("Toucanrack-Draining");
  private static final String CANCEL_PATH_PREFIX = "/cancel/";
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final long CANCELLED_ID_RETENTION_MILLIS = 30_000;
  private static final long UNREACHABLE_DELAY_MILLIS = 20;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final NioReactor reactor;
  private final BackendSettings settings;
  private final long seed;
  private final String name;
  private final ConnectionTracker connections = new ConnectionTracker();
  private HttpServer server;
  private final Map<String, Execution> executions = new HashMap<>();
  private final Map<String, Long> cancelledIds = new LinkedHashMap<>();
  private BackendState state;
  private ExecutionLog executionLog = new ExecutionLog();

  BackendServer(
      NioReactor reactor, InetSocketAddress address, BackendSettings settings, long seed) {
    this.reactor = reactor;
    this.settings = settings;
    this.seed = seed;
    this.name = address.getHostString() + ":" + address.getPort();
    this.state = new BackendState(settings, seed, nowMillis());
    this.server = httpServer(address);
  }

  private HttpServer httpServer(InetSocketAddress address) {
    return HttpServer.builder(reactor, this)
        .withListenAddress(address)
        .withSocketInspector(connections)
        .withAcceptFilter(
            (channel, local, remote, ssl) -> connections.openCount() >= settings.maxConnections())
        .withMaxBodySize(MAX_BODY_BYTES)
        .build();
  }

  void listen() throws IOException {
    server.listen();
  }

  void close() {
    server.close();
  }

  int port() {
    return server.getBoundAddresses().get(0).getPort();
  }

  ExecutionLog executionLog() {
    return executionLog;
  }

  void apply(Control control) {
    state.apply(control, nowMillis());
    if (control.unreachableMillis() != null) {
      // Delayed, so that the response to the control call is sent before the connections close.
      reactor.delay(UNREACHABLE_DELAY_MILLIS, () -> becomeUnreachable(control.unreachableMillis()));
    }
  }

  private void becomeUnreachable(long durationMillis) {
    InetSocketAddress address = server.getBoundAddresses().get(0);
    server.close();
    connections.resetAll();
    server = httpServer(address);
    reactor.delay(durationMillis, this::resumeListening);
  }

  private void resumeListening() {
    try {
      server.listen();
    } catch (IOException e) {
      throw new IllegalStateException("backend server " + name + " failed to reopen its port", e);
    }
  }

  /** Clears the execution log, control settings and cancellations, and makes the server warm. */
  void reset() {
    state = new BackendState(settings, seed, nowMillis());
    state.makeWarm(nowMillis());
    executionLog = new ExecutionLog();
    cancelledIds.clear();
  }

  Map<String, Object> describe(boolean withCallerIds) {
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("server", name);
    description.putAll(executionLog.describe(withCallerIds));
    description.put("running", state.running());
    description.put("lastStartAfterDrainMillis", state.lastStartAfterDrainMillis());
    description.put("greatestConnections", connections.peakOpenCount());
    return description;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) throws IOException {
    TcpSocket socket = connections.lastReadSocket();
    String path = request.getPath();
    String call = request.getMethod() + " " + path;
    switch (call) {
      case "GET /health":
        return HttpResponse.ok200().withPlainText(state.health(nowMillis())).toPromise();
      case "GET /load":
        return HttpResponse.ok200().withPlainText(state.load(nowMillis())).toPromise();
      case "GET /ran":
        return json(describe("true".equals(request.getQueryParameter("ids"))));
      case "POST /reset":
        reset();
        return json(Map.of("done", true));
      case "POST /control":
        return request
            .loadBody(MAX_BODY_BYTES)
            .then(
                body -> {
                  apply(JSON.readValue(body.getArray(), Control.class));
                  return json(Map.of("done", true));
                });
      default:
        if (path.startsWith(CANCEL_PATH_PREFIX)) {
          return cancel(path.substring(CANCEL_PATH_PREFIX.length()));
        }
        return request.loadBody(MAX_BODY_BYTES).then(body -> execute(request, socket));
    }
  }

  private Promise<HttpResponse> execute(HttpRequest request, TcpSocket socket) {
    inspectHeadersAndQuery(request);
    String path = request.getPath();
    String customer = request.getHeader(CUSTOMER_HEADER);
    if (state.down()) {
      return newResponse(500).withPlainText("down").toPromise();
    }
    FaultRule fault = state.faultFor(path, customer, nowMillis());
    String requestId = request.getHeader(REQUEST_ID_HEADER);
    boolean shed = fault != null && fault.kind() == FaultRule.Kind.SHED;
    if (shed
        || remainingMillis(request) <= 0
        || consumeCancellation(requestId)
        || !state.tryAcquireSlot(nowMillis())) {
      executionLog.recordShed();
      return newResponse(503).withHeader(SHED_HEADER, "not-run").withPlainText("shed").toPromise();
    }
    executionLog.recordExecution(
        new ExecutionLog.ExecutedRequest(requestId, callerId(request), customer, isRead(request)),
        state.running());
    return new Execution(request, socket, fault).start();
  }

  /** Logs header names and searches header values and the query for API keys. */
  private void inspectHeadersAndQuery(HttpRequest request) {
    request
        .getHeaders()
        .forEach(
            header ->
                executionLog.recordHeader(
                    header.getKey().toString(), header.getValue().toString()));
    String query = request.getQuery();
    if (query != null && !query.isEmpty()) {
      executionLog.scanForApiKey(URLDecoder.decode(query, StandardCharsets.UTF_8));
    }
  }

  private static boolean isRead(HttpRequest request) {
    return request.getMethod() == HttpMethod.GET || request.getMethod() == HttpMethod.HEAD;
  }

  private static String callerId(HttpRequest request) {
    String header = request.getHeader(CALLER_ID_HEADER);
    return header == null ? request.getQueryParameter("caller-request-id") : header;
  }

  private static long remainingMillis(HttpRequest request) {
    String deadline = request.getHeader(DEADLINE_HEADER);
    return deadline == null ? Long.MAX_VALUE : Long.parseLong(deadline.trim());
  }

  private Promise<HttpResponse> cancel(String requestId) {
    Execution execution = executions.get(requestId);
    if (execution != null) {
      executionLog.recordCancelled();
      execution.complete(newResponse(503).withPlainText("cancelled").build());
      return json(Map.of("cancelled", true));
    }
    cancelledIds.values().removeIf(expiryMillis -> expiryMillis < nowMillis());
    cancelledIds.put(requestId, nowMillis() + CANCELLED_ID_RETENTION_MILLIS);
    return json(Map.of("cancelled", false));
  }

  /**
   * Returns whether the request was cancelled before it arrived, and removes the cancellation. Ids
   * of cancelled requests expire after {@link #CANCELLED_ID_RETENTION_MILLIS}.
   */
  private boolean consumeCancellation(String requestId) {
    Long expiryMillis = requestId == null ? null : cancelledIds.remove(requestId);
    return expiryMillis != null && expiryMillis >= nowMillis();
  }

  private HttpResponse.Builder newResponse(int status) {
    HttpResponse.Builder builder = HttpResponse.ofCode(status);
    return state.draining() ? builder.withHeader(DRAINING_HEADER, "true") : builder;
  }

  private static Promise<HttpResponse> json(Object body) {
    try {
      return HttpResponse.ok200().withJson(JSON.writeValueAsString(body)).toPromise();
    } catch (IOException e) {
      return Promise.ofException(e);
    }
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** The execution of a request, which occupies a slot until it completes. */
  private final class Execution {

    private final TcpSocket socket;
    private final FaultRule fault;
    private final String requestId;
    private final long remainingMillis;
    private final String body;
    private final BackendState stateAtStart = state;
    private final SettablePromise<HttpResponse> response = new SettablePromise<>();
    private ScheduledRunnable timer;

    Execution(HttpRequest request, TcpSocket socket, FaultRule fault) {
      this.socket = socket;
      this.fault = fault;
      this.requestId = request.getHeader(REQUEST_ID_HEADER);
      this.remainingMillis = remainingMillis(request);
      this.body =
          "{\"server\":\"%s\",\"path\":\"%s\",\"callerRequestId\":\"%s\"}"
              .formatted(name, request.getPath(), callerId(request));
    }

    Promise<HttpResponse> start() {
      double serviceMillis = state.sampleServiceMillis(nowMillis());
      if (connections.consumeFirstRequest(socket)) {
        serviceMillis += settings.newConnectionMillis();
      }
      if (fault != null && fault.kind() == FaultRule.Kind.SLOW) {
        serviceMillis += fault.delayMillis();
      }
      if (requestId != null) {
        executions.put(requestId, this);
      }
      long roundedMillis = Math.round(serviceMillis);
      if (roundedMillis > remainingMillis) {
        schedule(
            remainingMillis, () -> complete(newResponse(504).withPlainText("deadline").build()));
      } else if (roundedMillis == 0) {
        finish();
      } else {
        schedule(roundedMillis, this::finish);
      }
      return response;
    }

    private void schedule(long delayMillis, Runnable action) {
      timer = reactor.delay(delayMillis, action);
    }

    private void finish() {
      FaultRule.Kind kind = fault == null ? FaultRule.Kind.SLOW : fault.kind();
      switch (kind) {
        case ERROR ->
            complete(
                newResponse(fault.status() == 0 ? 500 : fault.status()).withPlainText("error"));
        case RESET -> breakConnection(() -> ConnectionTracker.reset(socket));
        case TRUNCATE ->
            breakConnection(
                () ->
                    ConnectionTracker.writeAndClose(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body.substring(0, body.length() / 2)));
        case UNFRAMED ->
            breakConnection(
                () -> ConnectionTracker.writeAndClose(socket, "HTTP/1.1 200 OK\r\n\r\n" + body));
        case HANG -> releaseSlot();
        default -> complete(newResponse(200).withJson(body));
      }
    }

    private void complete(HttpResponse.Builder builder) {
      complete(builder.build());
    }

    private void complete(HttpResponse completed) {
      releaseSlot();
      response.trySet(completed);
    }

    private void breakConnection(Runnable action) {
      releaseSlot();
      action.run();
    }

    private void releaseSlot() {
      if (timer != null) {
        timer.cancel();
      }
      executions.remove(requestId, this);
      stateAtStart.releaseSlot(nowMillis());
    }
  }
}
