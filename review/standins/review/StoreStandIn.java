package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: rows, transactions under a condition and the change feed.
 *
 * <p>Each entry VM gets a gate of its own, an address through which it reaches the store, so that a
 * single VM can be cut off.
 */
final class StoreStandIn {

  private static final Pattern ENTRY =
      Pattern.compile(
          "\\{[^{}]*\\}"); // the entries of a transaction are flat objects without braces in texts
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private final Record record;
  private long version;

  private record Row(String table, String key, String value, long version) {

    boolean removed() {
      return value == null;
    }

    String json() {
      String start =
          "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"ver\":%d,"
              .formatted(table, key, version);
      return start + (removed() ? "\"removed\":true}" : "\"value\":\"" + value + "\"}");
    }
  }

  StoreStandIn(Record record) {
    this.record = record;
  }

  /** Writes a row as the operator or a server does; the return is the acknowledgement. */
  synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    apply(new Row(table, key, value, ++version));
    record.line("store acknowledges %s/%s at version %d: %s", table, key, version, abridged(json));
  }

  /** Removes a row. */
  synchronized void remove(String table, String key) {
    apply(new Row(table, key, null, ++version));
    record.line("store acknowledges the removal of %s/%s at version %d", table, key, version);
  }

  private static String abridged(String text) {
    return text.length() > 200 ? text.substring(0, 200) + "..." : text;
  }

  private void apply(Row row) {
    TreeMap<String, Row> rows = tables.computeIfAbsent(row.table(), name -> new TreeMap<>());
    if (row.removed()) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    history.add(row);
    notifyAll();
  }

  private synchronized String get(Map<String, String> query) {
    List<String> rows = new ArrayList<>();
    for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
      boolean inRange =
          row.key().compareTo(query.getOrDefault("from", "")) >= 0
              && (!query.containsKey("to") || row.key().compareTo(query.get("to")) < 0);
      if (inRange) {
        rows.add(row.json());
      }
    }
    return answer(rows);
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (true) {
      List<String> rows = new ArrayList<>();
      for (Row row : history) {
        if (row.version() > after && row.table().equals(query.get("table"))) {
          rows.add(row.json());
        }
      }
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!rows.isEmpty() || leftMillis <= 0) {
        return answer(rows);
      }
      wait(leftMillis);
    }
  }

  private String answer(List<String> rows) {
    return "{\"rows\":[%s],\"has_more\":false,\"ver\":%d,\"now_s\":%s}"
        .formatted(String.join(",", rows), version, (System.nanoTime() - startNanos) / 1e9);
  }

  /** Returns the body of a successful transaction, or null if a condition does not hold. */
  private synchronized String transaction(String body) {
    for (Map<String, String> condition : entries(body, "expected_rev")) {
      Row row =
          tables
              .getOrDefault(condition.get("table"), new TreeMap<>())
              .get(condition.get("key"));
      if ((row == null ? 0 : row.version()) != Long.parseLong(condition.get("ver"))) {
        return null;
      }
    }
    List<Map<String, String>> writes = entries(body, "writes");
    List<Map<String, String>> removals = entries(body, "remove");
    version++;
    for (Map<String, String> write : writes) {
      apply(new Row(write.get("table"), write.get("key"), write.get("value"), version));
    }
    for (Map<String, String> removal : removals) {
      apply(new Row(removal.get("table"), removal.get("key"), null, version));
    }
    return answer(List.of());
  }

  private static List<Map<String, String>> entries(String body, String list) {
    List<Map<String, String>> entries = new ArrayList<>();
    int start = body.indexOf("\"" + list + "\"");
    if (start >= 0) {
      Matcher matcher =
          ENTRY.matcher(body.substring(body.indexOf('[', start), body.indexOf(']', start)));
      while (matcher.find()) {
        Map<String, String> fields = new HashMap<>();
        Matcher field =
            Pattern.compile("\"(\\w+)\"\\s*:\\s*(\"([^\"]*)\"|-?\\d+)").matcher(matcher.group());
        while (field.find()) {
          fields.put(field.group(1), field.group(3) == null ? field.group(2) : field.group(3));
        }
        entries.add(fields);
      }
    }
    return entries;
  }

  /** Opens a gate to the store on a free port. */
  Gate openGate(String name, String ip) throws IOException {
    Gate gate = new Gate(name, new ServerSocket(0, 200, InetAddress.getByName(ip)));
    Threads.start("store " + name, gate::accept);
    return gate;
  }

  /** The way of one entry VM to the store. */
  final class Gate {

    private final String name;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile double lastAnswerAt;
    private volatile Predicate<String> losesAnswer = target -> false;

    private Gate(String name, ServerSocket listener) {
      this.name = name;
      this.listener = listener;
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Cuts the VM off: its connections are reset, and new ones are reset at once. */
    void cut(boolean isCut) {
      record.line("the path of %s to the store is %s", name, isCut ? "cut" : "back");
      cut = isCut;
      if (isCut) {
        connections.forEach(Threads::reset);
      }
    }

    /** Returns when the store last answered a call of the VM. */
    double lastAnswerAt() {
      return lastAnswerAt;
    }

    /**
     * Loses the answers to the calls for which the predicate holds when the answer is due. A
     * connection on which an answer was lost delivers nothing further.
     */
    void loseAnswers(Predicate<String> predicate) {
      losesAnswer = predicate;
    }

    private void accept() throws IOException {
      while (true) {
        Socket connection = listener.accept();
        if (cut) {
          Threads.reset(connection);
        } else {
          connections.add(connection);
          Threads.start("store call", () -> serve(connection));
        }
      }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
      boolean dead = false;
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        while (true) {
          Http.Message request = Http.read(in);
          if (request == null) {
            return;
          }
          String target = request.target();
          if (dead) {
            record.line("store gets %s from %s on a connection that is dead", target, name);
            continue;
          }
          String body = handle(request);
          if (cut) {
            return;
          }
          if (losesAnswer.test(target)) {
            dead = true;
            record.line("the store's answer to %s of %s is lost", target, name);
            continue;
          }
          lastAnswerAt = record.now();
          Http.write(
              connection.getOutputStream(),
              body == null ? "HTTP/1.1 412 Precondition Failed" : "HTTP/1.1 200 OK",
              "Content-Type: application/json\r\n",
              (body == null ? answerRefused() : body).getBytes(StandardCharsets.UTF_8));
        }
      } finally {
        connections.remove(connection);
      }
    }

    private String answerRefused() {
      synchronized (StoreStandIn.this) {
        return answer(List.of());
      }
    }

    private String handle(Http.Message request) throws InterruptedException {
      String target = request.target();
      if (target.startsWith("/v1/rows-tx")) {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        record.line("%s writes %s", name, abridged(body));
        return transaction(body);
      }
      Map<String, String> query = query(target);
      if (target.startsWith("/v1/rows-get")) {
        return get(query);
      }
      return feed(query);
    }
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    for (String parameter : target.substring(target.indexOf('?') + 1).split("&")) {
      int equals = parameter.indexOf('=');
      query.put(
          parameter.substring(0, equals),
          URLDecoder.decode(parameter.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }
}
