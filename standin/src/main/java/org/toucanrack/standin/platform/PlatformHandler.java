package org.toucanrack.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Serves the HTTP API of the platform: table, objects, VM list, measurements, and the control calls
 * of tests. Control calls ({@code POST /fault}, {@code GET /statistics}, {@code /vms/NAME} and
 * {@code PUT /measurements}) are exempt from injected faults and rate limits. Thread-safe.
 */
final class PlatformHandler implements HttpHandler {

  /** An entry of the VM list. */
  record Vm(String vm, String peerAddress, boolean leaving) {}

  private static final String OBJECT_PATH_PREFIX = "/objects/";
  private static final String VM_PATH_PREFIX = "/vms/";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final TableStore tables = new TableStore();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final PlatformFaults faults = new PlatformFaults(System::nanoTime);
  private final LaggedValue<Map<String, Vm>> vms;
  private final LaggedValue<Map<String, Object>> measurements;
  private final CallRateLimit readLimit;
  private final CallRateLimit writeLimit;
  private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();

  PlatformHandler(PlatformSettings settings) {
    long vmLagNanos = TimeUnit.MILLISECONDS.toNanos(settings.vmLagMillis());
    long measurementsLagNanos = TimeUnit.MILLISECONDS.toNanos(settings.measurementsLagMillis());
    vms = new LaggedValue<>(Map.of(), vmLagNanos, System::nanoTime);
    measurements = new LaggedValue<>(Map.of(), measurementsLagNanos, System::nanoTime);
    readLimit = new CallRateLimit(settings.readsPerSecond(), System::nanoTime);
    writeLimit = new CallRateLimit(settings.writesPerSecond(), System::nanoTime);
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      route(exchange, exchange.getRequestURI().getRawPath(), body);
    } catch (IOException e) {
      throw e;
    } catch (RuntimeException e) {
      sendJson(exchange, 400, Map.of("reason", String.valueOf(e.getMessage())));
    } finally {
      exchange.close();
    }
  }

  private void route(HttpExchange exchange, String path, byte[] body) throws IOException {
    String call = exchange.getRequestMethod() + " " + path;
    if (call.equals("POST /fault")) {
      setFaults(exchange, body);
    } else if (call.equals("GET /statistics")) {
      sendJson(exchange, 200, new TreeMap<>(counters));
    } else if (path.startsWith(VM_PATH_PREFIX)) {
      updateVm(exchange, path.substring(VM_PATH_PREFIX.length()), body);
    } else if (call.equals("PUT /measurements")) {
      measurements.set(JSON.convertValue(JSON.readTree(body), Map.class));
      sendJson(exchange, 200, Map.of("done", true));
    } else if (admit(exchange)) {
      serve(exchange, call, path, body);
    }
  }

  /**
   * Applies the injected faults to a call. Returns true if the call is to be served, and false if
   * it failed, in which case any response has already been sent.
   */
  private boolean admit(HttpExchange exchange) throws IOException {
    String serverAddress = "127.0.0.1:" + exchange.getLocalAddress().getPort();
    if (faults.refusesClient(serverAddress)
        || faults.refusesClient(exchange.getRequestHeaders().getFirst("Toucanrack-Vm"))) {
      increment("refused");
      return false;
    }
    if (faults.isOutageActive()) {
      increment("outage");
      if (faults.outageKind() == PlatformFaults.OutageKind.ANSWER) {
        sendJson(exchange, 503, Map.of("reason", "outage"));
      }
      return false;
    }
    delay(faults.delayMillis());
    return true;
  }

  private void serve(HttpExchange exchange, String call, String path, byte[] body)
      throws IOException {
    boolean write =
        call.equals("POST /table/commit") || call.startsWith("PUT " + OBJECT_PATH_PREFIX);
    if (!(write ? writeLimit : readLimit).tryAcquire()) {
      increment("limited");
      sendJson(exchange, 429, Map.of("reason", "over the limit of the platform"));
      return;
    }
    increment(write ? "writes" : "reads");
    if (path.startsWith(OBJECT_PATH_PREFIX)) {
      serveObject(exchange, path.substring(OBJECT_PATH_PREFIX.length()), body);
      return;
    }
    switch (call) {
      case "POST /table/get" -> getRow(exchange, JSON.readTree(body));
      case "POST /table/list" ->
          sendJson(
              exchange,
              200,
              Map.of("rows", tables.list(requiredText(JSON.readTree(body), "prefix"))));
      case "POST /table/commit" -> commit(exchange, JSON.readValue(body, TableStore.Commit.class));
      case "GET /vms" ->
          sendJson(exchange, 200, Map.of("vms", new ArrayList<>(vms.visible().values())));
      case "GET /measurements" -> sendJson(exchange, 200, measurements.visible());
      default -> sendJson(exchange, 404, Map.of("reason", "no such call: " + call));
    }
  }

  private void getRow(HttpExchange exchange, JsonNode request) throws IOException {
    Map<String, Object> response = new HashMap<>();
    response.put("row", tables.get(requiredText(request, "key")));
    sendJson(exchange, 200, response);
  }

  private void commit(HttpExchange exchange, TableStore.Commit commit) throws IOException {
    Optional<String> refusal = tables.commit(commit);
    if (faults.consumeLostCommitResponse()) {
      increment("lostAnswers");
      return;
    }
    if (refusal.isPresent()) {
      increment("conflicts");
      sendJson(exchange, 409, Map.of("reason", refusal.get()));
      return;
    }
    sendJson(exchange, 200, Map.of("done", true));
  }

  private void serveObject(HttpExchange exchange, String encodedName, byte[] body)
      throws IOException {
    String name = decode(encodedName);
    switch (exchange.getRequestMethod()) {
      case "PUT" -> {
        objects.put(name, body);
        sendJson(exchange, 200, Map.of("done", true));
      }
      case "GET" -> {
        byte[] content = objects.get(name);
        if (content == null) {
          sendJson(exchange, 404, Map.of("reason", "no object " + name));
        } else {
          sendBytes(exchange, 200, "application/octet-stream", content);
        }
      }
      default -> sendJson(exchange, 405, Map.of("reason", "only GET and PUT"));
    }
  }

  private void updateVm(HttpExchange exchange, String encodedName, byte[] body) throws IOException {
    String name = decode(encodedName);
    synchronized (vms) {
      Map<String, Vm> updated = new TreeMap<>(vms.latest());
      if (exchange.getRequestMethod().equals("DELETE")) {
        updated.remove(name);
      } else {
        JsonNode request = JSON.readTree(body);
        boolean leaving = request.path("leaving").asBoolean(false);
        updated.put(name, new Vm(name, requiredText(request, "peerAddress"), leaving));
      }
      vms.set(updated);
    }
    sendJson(exchange, 200, Map.of("done", true));
  }

  private void setFaults(HttpExchange exchange, byte[] body) throws IOException {
    PlatformFaults.Request request = JSON.readValue(body, PlatformFaults.Request.class);
    faults.update(request);
    if (request.freezeVms() != null) {
      vms.setFrozen(request.freezeVms());
    }
    if (request.freezeMeasurements() != null) {
      measurements.setFrozen(request.freezeMeasurements());
    }
    sendJson(exchange, 200, Map.of("done", true));
  }

  private void increment(String name) {
    counters.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
  }

  private static String requiredText(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value.asText();
  }

  private static String decode(String text) {
    return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  private static void delay(long delayMillis) throws IOException {
    try {
      Thread.sleep(delayMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while delaying a response", e);
    }
  }

  private static void sendJson(HttpExchange exchange, int status, Object body) throws IOException {
    sendBytes(exchange, status, "application/json", JSON.writeValueAsBytes(body));
  }

  private static void sendBytes(HttpExchange exchange, int status, String contentType, byte[] body)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", contentType);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }
}
