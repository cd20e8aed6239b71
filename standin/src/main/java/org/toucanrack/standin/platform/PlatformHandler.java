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

/** Answers the platform's HTTP calls. Thread-safe. */
final class PlatformHandler implements HttpHandler {

  /** One machine of the VM list. */
  record Vm(String vm, String peerAddress, boolean leaving) {}

  private static final String OBJECTS = "/objects/";
  private static final String VMS = "/vms/";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final TableStore tables = new TableStore();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final PlatformFaults faults = new PlatformFaults(System::nanoTime);
  private final Lagging<Map<String, Vm>> vms;
  private final Lagging<Map<String, Object>> measurements;
  private final CallLimit readLimit;
  private final CallLimit writeLimit;
  private final Map<String, AtomicLong> statistics = new ConcurrentHashMap<>();

  PlatformHandler(PlatformSettings settings) {
    long vmLagNanos = TimeUnit.MILLISECONDS.toNanos(settings.vmLagMillis());
    long measurementsLagNanos = TimeUnit.MILLISECONDS.toNanos(settings.measurementsLagMillis());
    vms = new Lagging<>(Map.of(), vmLagNanos, System::nanoTime);
    measurements = new Lagging<>(Map.of(), measurementsLagNanos, System::nanoTime);
    readLimit = new CallLimit(settings.readsPerSecond(), System::nanoTime);
    writeLimit = new CallLimit(settings.writesPerSecond(), System::nanoTime);
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    try {
      route(exchange, exchange.getRequestURI().getRawPath(), body);
    } catch (IOException e) {
      throw e;
    } catch (RuntimeException e) {
      answer(exchange, 400, Map.of("reason", String.valueOf(e.getMessage())));
    } finally {
      exchange.close();
    }
  }

  private void route(HttpExchange exchange, String path, byte[] body) throws IOException {
    String call = exchange.getRequestMethod() + " " + path;
    if (call.equals("POST /fault")) {
      setFaults(exchange, body);
    } else if (call.equals("GET /statistics")) {
      answer(exchange, 200, new TreeMap<>(statistics));
    } else if (path.startsWith(VMS)) {
      changeVm(exchange, path.substring(VMS.length()), body);
    } else if (call.equals("PUT /measurements")) {
      measurements.set(JSON.convertValue(JSON.readTree(body), Map.class));
      answer(exchange, 200, Map.of("done", true));
    } else if (admits(exchange)) {
      serve(exchange, call, path, body);
    }
  }

  private boolean admits(HttpExchange exchange) throws IOException {
    String address = "127.0.0.1:" + exchange.getLocalAddress().getPort();
    if (faults.refuses(address)
        || faults.refuses(exchange.getRequestHeaders().getFirst("Toucanrack-Vm"))) {
      count("refused");
      return false;
    }
    if (faults.outage()) {
      count("outage");
      if (faults.outageKind() == PlatformFaults.OutageKind.ANSWER) {
        answer(exchange, 503, Map.of("reason", "outage"));
      }
      return false;
    }
    pause(faults.delayMillis());
    return true;
  }

  private void serve(HttpExchange exchange, String call, String path, byte[] body)
      throws IOException {
    boolean write = call.equals("POST /table/commit") || call.startsWith("PUT " + OBJECTS);
    if (!(write ? writeLimit : readLimit).allows()) {
      count("limited");
      answer(exchange, 429, Map.of("reason", "over the limit of the platform"));
      return;
    }
    count(write ? "writes" : "reads");
    if (path.startsWith(OBJECTS)) {
      object(exchange, path.substring(OBJECTS.length()), body);
      return;
    }
    switch (call) {
      case "POST /table/get" -> getRow(exchange, JSON.readTree(body));
      case "POST /table/list" ->
          answer(exchange, 200, Map.of("rows", tables.list(text(JSON.readTree(body), "prefix"))));
      case "POST /table/commit" -> commit(exchange, JSON.readValue(body, TableStore.Commit.class));
      case "GET /vms" ->
          answer(exchange, 200, Map.of("vms", new ArrayList<>(vms.visible().values())));
      case "GET /measurements" -> answer(exchange, 200, measurements.visible());
      default -> answer(exchange, 404, Map.of("reason", "no such call: " + call));
    }
  }

  private void getRow(HttpExchange exchange, JsonNode request) throws IOException {
    Map<String, Object> answer = new HashMap<>();
    answer.put("row", tables.get(text(request, "key")));
    answer(exchange, 200, answer);
  }

  private void commit(HttpExchange exchange, TableStore.Commit commit) throws IOException {
    Optional<String> refusal = tables.commit(commit);
    if (faults.takeLostCommitAnswer()) {
      count("lostAnswers");
      return;
    }
    if (refusal.isPresent()) {
      count("conflicts");
      answer(exchange, 409, Map.of("reason", refusal.get()));
      return;
    }
    answer(exchange, 200, Map.of("done", true));
  }

  private void object(HttpExchange exchange, String encodedName, byte[] body) throws IOException {
    String name = decode(encodedName);
    switch (exchange.getRequestMethod()) {
      case "PUT" -> {
        objects.put(name, body);
        answer(exchange, 200, Map.of("done", true));
      }
      case "GET" -> {
        byte[] content = objects.get(name);
        if (content == null) {
          answer(exchange, 404, Map.of("reason", "no object " + name));
        } else {
          send(exchange, 200, "application/octet-stream", content);
        }
      }
      default -> answer(exchange, 405, Map.of("reason", "only GET and PUT"));
    }
  }

  private void changeVm(HttpExchange exchange, String encodedName, byte[] body) throws IOException {
    String name = decode(encodedName);
    synchronized (vms) {
      Map<String, Vm> changed = new TreeMap<>(vms.latest());
      if (exchange.getRequestMethod().equals("DELETE")) {
        changed.remove(name);
      } else {
        JsonNode request = JSON.readTree(body);
        boolean leaving = request.path("leaving").asBoolean(false);
        changed.put(name, new Vm(name, text(request, "peerAddress"), leaving));
      }
      vms.set(changed);
    }
    answer(exchange, 200, Map.of("done", true));
  }

  private void setFaults(HttpExchange exchange, byte[] body) throws IOException {
    PlatformFaults.Request request = JSON.readValue(body, PlatformFaults.Request.class);
    faults.set(request);
    if (request.freezeVms() != null) {
      vms.freeze(request.freezeVms());
    }
    if (request.freezeMeasurements() != null) {
      measurements.freeze(request.freezeMeasurements());
    }
    answer(exchange, 200, Map.of("done", true));
  }

  private void count(String name) {
    statistics.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value.asText();
  }

  private static String decode(String text) {
    return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("stopped while delaying an answer", e);
    }
  }

  private static void answer(HttpExchange exchange, int code, Object body) throws IOException {
    send(exchange, code, "application/json", JSON.writeValueAsBytes(body));
  }

  private static void send(HttpExchange exchange, int code, String type, byte[] body)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(code, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }
}
