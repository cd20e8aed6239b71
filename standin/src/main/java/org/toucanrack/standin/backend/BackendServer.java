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

/** One backend server on one port. Confined to the event loop. */
final class BackendServer implements AsyncServlet {

  private static final HttpHeader REQUEST_ID = HttpHeaders.of("Toucanrack-Request-Id");
  private static final HttpHeader CALLER_ID = HttpHeaders.of("X-Caller-Request-Id");
  private static final HttpHeader CUSTOMER = HttpHeaders.of("Toucanrack-Customer");
  private static final HttpHeader DEADLINE = HttpHeaders.of("Toucanrack-Deadline-Ms");
  private static final HttpHeader SHED = HttpHeaders.of("Toucanrack-Shed");
  private static final HttpHeader DRAINING = HttpHeaders.of("Toucanrack-Draining");
  private static final String CANCEL = "/cancel/";
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final long CANCELLED_ID_MEMORY_MILLIS = 30_000;
  private static final long ANSWER_MILLIS = 20;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final NioReactor reactor;
  private final BackendSettings settings;
  private final long seed;
  private final String name;
  private final Connections connections = new Connections();
  private HttpServer server;
  private final Map<String, Execution> executions = new HashMap<>();
  private final Map<String, Long> cancelledIds = new LinkedHashMap<>();
  private BackendState state;
  private RanRecord record = new RanRecord();

  BackendServer(
      NioReactor reactor, InetSocketAddress address, BackendSettings settings, long seed) {
    this.reactor = reactor;
    this.settings = settings;
    this.seed = seed;
    this.name = address.getHostString() + ":" + address.getPort();
    this.state = new BackendState(settings, seed, now());
    this.server = httpServer(address);
  }

  private HttpServer httpServer(InetSocketAddress address) {
    return HttpServer.builder(reactor, this)
        .withListenAddress(address)
        .withSocketInspector(connections)
        .withAcceptFilter(
            (channel, local, remote, ssl) -> connections.open() >= settings.maxConnections())
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

  RanRecord ranRecord() {
    return record;
  }

  void apply(Control control) {
    state.apply(control, now());
    if (control.unreachableMillis() != null) {
      // After the answer to the control call itself.
      reactor.delay(ANSWER_MILLIS, () -> beUnreachable(control.unreachableMillis()));
    }
  }

  private void beUnreachable(long millis) {
    InetSocketAddress address = server.getBoundAddresses().get(0);
    server.close();
    connections.resetAll();
    server = httpServer(address);
    reactor.delay(millis, this::listenAgain);
  }

  private void listenAgain() {
    try {
      server.listen();
    } catch (IOException e) {
      throw new IllegalStateException("backend server " + name + " cannot listen again", e);
    }
  }

  /** Forgets records and faults; the server is warm afterwards. */
  void reset() {
    state = new BackendState(settings, seed, now());
    state.makeWarm(now());
    record = new RanRecord();
    cancelledIds.clear();
  }

  Map<String, Object> describe(boolean withIds) {
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("server", name);
    description.putAll(record.describe(withIds));
    description.put("running", state.running());
    description.put("lastStartAfterDrainMillis", state.lastStartAfterDrainMillis());
    description.put("greatestConnections", connections.greatestOpen());
    return description;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) throws IOException {
    TcpSocket socket = connections.current();
    String path = request.getPath();
    String call = request.getMethod() + " " + path;
    switch (call) {
      case "GET /health":
        return HttpResponse.ok200().withPlainText(state.health(now())).toPromise();
      case "GET /load":
        return HttpResponse.ok200().withPlainText(state.load(now())).toPromise();
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
        if (path.startsWith(CANCEL)) {
          return cancel(path.substring(CANCEL.length()));
        }
        return request.loadBody(MAX_BODY_BYTES).then(body -> work(request, socket));
    }
  }

  private Promise<HttpResponse> work(HttpRequest request, TcpSocket socket) {
    examine(request);
    String path = request.getPath();
    String customer = request.getHeader(CUSTOMER);
    if (state.down()) {
      return answer(500).withPlainText("down").toPromise();
    }
    FaultRule fault = state.faultFor(path, customer, now());
    String requestId = request.getHeader(REQUEST_ID);
    boolean shed = fault != null && fault.kind() == FaultRule.Kind.SHED;
    if (shed || remainingMillis(request) <= 0 || wasCancelled(requestId) || !state.start(now())) {
      record.shed();
      return answer(503).withHeader(SHED, "not-run").withPlainText("shed").toPromise();
    }
    record.ran(
        new RanRecord.Entry(requestId, callerId(request), customer, isRead(request)),
        state.running());
    return new Execution(request, socket, fault).run();
  }

  /** Looks for keys in everything that a request carries besides its body. */
  private void examine(HttpRequest request) {
    request
        .getHeaders()
        .forEach(header -> record.header(header.getKey().toString(), header.getValue().toString()));
    String query = request.getQuery();
    if (query != null && !query.isEmpty()) {
      record.text(URLDecoder.decode(query, StandardCharsets.UTF_8));
    }
  }

  private static boolean isRead(HttpRequest request) {
    return request.getMethod() == HttpMethod.GET || request.getMethod() == HttpMethod.HEAD;
  }

  private static String callerId(HttpRequest request) {
    String header = request.getHeader(CALLER_ID);
    return header == null ? request.getQueryParameter("caller-request-id") : header;
  }

  private static long remainingMillis(HttpRequest request) {
    String deadline = request.getHeader(DEADLINE);
    return deadline == null ? Long.MAX_VALUE : Long.parseLong(deadline.trim());
  }

  private Promise<HttpResponse> cancel(String requestId) {
    Execution execution = executions.get(requestId);
    if (execution != null) {
      record.cancelled();
      execution.complete(answer(503).withPlainText("cancelled").build());
      return json(Map.of("cancelled", true));
    }
    cancelledIds.values().removeIf(until -> until < now());
    cancelledIds.put(requestId, now() + CANCELLED_ID_MEMORY_MILLIS);
    return json(Map.of("cancelled", false));
  }

  /** Returns whether a cancellation overtook the request. */
  private boolean wasCancelled(String requestId) {
    Long until = requestId == null ? null : cancelledIds.remove(requestId);
    return until != null && until >= now();
  }

  private HttpResponse.Builder answer(int code) {
    HttpResponse.Builder builder = HttpResponse.ofCode(code);
    return state.draining() ? builder.withHeader(DRAINING, "true") : builder;
  }

  private static Promise<HttpResponse> json(Object body) {
    try {
      return HttpResponse.ok200().withJson(JSON.writeValueAsString(body)).toPromise();
    } catch (IOException e) {
      return Promise.ofException(e);
    }
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** A request that holds a slot. */
  private final class Execution {

    private final TcpSocket socket;
    private final FaultRule fault;
    private final String requestId;
    private final long remainingMillis;
    private final String body;
    private final BackendState startedOn = state;
    private final SettablePromise<HttpResponse> response = new SettablePromise<>();
    private ScheduledRunnable timer;

    Execution(HttpRequest request, TcpSocket socket, FaultRule fault) {
      this.socket = socket;
      this.fault = fault;
      this.requestId = request.getHeader(REQUEST_ID);
      this.remainingMillis = remainingMillis(request);
      this.body =
          "{\"server\":\"%s\",\"path\":\"%s\",\"callerRequestId\":\"%s\"}"
              .formatted(name, request.getPath(), callerId(request));
    }

    Promise<HttpResponse> run() {
      double millis = state.drawServiceMillis(now());
      if (connections.isFirstRequest(socket)) {
        millis += settings.newConnectionMillis();
      }
      if (fault != null && fault.kind() == FaultRule.Kind.SLOW) {
        millis += fault.delayMillis();
      }
      if (requestId != null) {
        executions.put(requestId, this);
      }
      long rounded = Math.round(millis);
      if (rounded > remainingMillis) {
        after(remainingMillis, () -> complete(answer(504).withPlainText("deadline").build()));
      } else if (rounded == 0) {
        end();
      } else {
        after(rounded, this::end);
      }
      return response;
    }

    private void after(long millis, Runnable action) {
      timer = reactor.delay(millis, action);
    }

    private void end() {
      FaultRule.Kind kind = fault == null ? FaultRule.Kind.SLOW : fault.kind();
      switch (kind) {
        case ERROR ->
            complete(answer(fault.status() == 0 ? 500 : fault.status()).withPlainText("error"));
        case RESET -> breakConnection(() -> Connections.reset(socket));
        case TRUNCATE ->
            breakConnection(
                () ->
                    Connections.writeAndClose(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body.substring(0, body.length() / 2)));
        case UNFRAMED ->
            breakConnection(
                () -> Connections.writeAndClose(socket, "HTTP/1.1 200 OK\r\n\r\n" + body));
        case HANG -> release();
        default -> complete(answer(200).withJson(body));
      }
    }

    private void complete(HttpResponse.Builder builder) {
      complete(builder.build());
    }

    private void complete(HttpResponse answer) {
      release();
      response.trySet(answer);
    }

    private void breakConnection(Runnable action) {
      release();
      action.run();
    }

    private void release() {
      if (timer != null) {
        timer.cancel();
      }
      executions.remove(requestId, this);
      startedOn.finish(now());
    }
  }
}
