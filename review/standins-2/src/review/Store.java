package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stands in for the platform's store: rows, conditional transactions, the feed, the header
 * Store-Era, and the drill in which the store comes back from a copy.
 */
final class Store implements AutoCloseable {

  private static final int ROW_BYTES = 65_536;

  private record Row(String table, String key, String value, long version) {}

  private record Copy(Map<String, Row> rows, List<Row> history, long version) {}

  private final ServerSocket socket;
  private final Set<Socket> connections = new HashSet<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version;
  private long era = 1;
  private boolean away;
  private Copy copy;

  Store(InetSocketAddress address) throws IOException {
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(address, 200);
    Threads.start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Writes a row as the operator and the servers do; the return is the ack. */
  synchronized void put(String table, String key, Object document) {
    byte[] bytes = Json.write(document).getBytes(StandardCharsets.UTF_8);
    if (bytes.length > ROW_BYTES) {
      throw new IllegalStateException(key + " has " + bytes.length + " bytes");
    }
    change(new Row(table, key, Base64.getEncoder().encodeToString(bytes), version + 1));
  }

  synchronized void remove(String table, String key) {
    change(new Row(table, key, null, version + 1));
  }

  /** Returns the document in a row, or null. */
  synchronized Object get(String table, String key) {
    Row row = rows.get(table + "/" + key);
    return row == null
        ? null
        : Json.parse(
            new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8));
  }

  /** Takes the copy from which {@link #comeBack} restores. */
  synchronized void takeCopy() {
    copy = new Copy(new TreeMap<>(rows), new ArrayList<>(history), version);
  }

  /** Goes away: open connections are reset, and no call is answered until the return. */
  void goAway() {
    List<Socket> open;
    synchronized (this) {
      away = true;
      open = new ArrayList<>(connections);
    }
    for (Socket connection : open) {
      try {
        connection.setSoLinger(true, 0);
        connection.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  /** Comes back from the copy; the era rises by one. */
  synchronized void comeBack() {
    rows.clear();
    rows.putAll(copy.rows());
    history.clear();
    history.addAll(copy.history());
    version = copy.version();
    era++;
    away = false;
    notifyAll();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void change(Row row) {
    version = row.version();
    if (row.value() == null) {
      rows.remove(row.table() + "/" + row.key());
    } else {
      rows.put(row.table() + "/" + row.key(), row);
    }
    history.add(row);
    notifyAll();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        Threads.start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    synchronized (this) {
      connections.add(connection);
    }
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        synchronized (this) {
          if (away) {
            connection.setSoLinger(true, 0);
            return;
          }
        }
        Answer answer = answer(call);
        Http.write(
            connection.getOutputStream(),
            "HTTP/1.1 " + answer.status() + " X",
            List.of("Content-Type: application/json", "Store-Era: " + answer.era()),
            answer.body().getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The caller has gone, or the store has gone away.
      return;
    } finally {
      synchronized (this) {
        connections.remove(connection);
      }
    }
  }

  private record Answer(int status, String body, long era) {}

  private Answer answer(Http.Message call) throws InterruptedException {
    String target = call.target();
    Map<String, String> query = query(target);
    if (target.startsWith("/v1/rows-tx")) {
      return transaction(call.text());
    }
    if (target.startsWith("/v1/rows-get")) {
      return get(query);
    }
    if (target.startsWith("/v1/rows-feed")) {
      return feed(query);
    }
    return new Answer(404, "{}", era);
  }

  @SuppressWarnings("unchecked")
  private synchronized Answer transaction(String body) {
    Map<String, Object> call = (Map<String, Object>) Json.parse(body);
    List<Map<String, Object>> conditions = rowsOf(call.get("expected_rev"));
    List<Row> current = new ArrayList<>();
    boolean met = true;
    for (Map<String, Object> condition : conditions) {
      Row row = rows.get(condition.get("table") + "/" + condition.get("key"));
      long actual = row == null ? 0 : row.version();
      if (row != null) {
        current.add(row);
      }
      met &= actual == ((Number) condition.get("ver")).longValue();
    }
    if (!met) {
      return new Answer(412, rowsAnswer(current, false), era);
    }
    List<Row> changes = new ArrayList<>();
    for (Map<String, Object> write : rowsOf(call.get("writes"))) {
      changes.add(
          new Row(
              (String) write.get("table"),
              (String) write.get("key"),
              (String) write.get("value"),
              version + 1));
    }
    for (Map<String, Object> removal : rowsOf(call.get("remove"))) {
      changes.add(
          new Row((String) removal.get("table"), (String) removal.get("key"), null, version + 1));
    }
    for (Row row : changes) {
      if (row.table().equals("op") || row.table().equals("servers")) {
        return new Answer(403, "{}", era);
      }
    }
    changes.forEach(this::change);
    return new Answer(200, rowsAnswer(List.of(), false), era);
  }

  @SuppressWarnings("unchecked")
  private static List<Map<String, Object>> rowsOf(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  private synchronized Answer get(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    List<Row> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.values()) {
      if (row.table().equals(query.get("table")) && row.key().compareTo(from) >= 0) {
        if (found.size() == 500) {
          more = true;
          break;
        }
        found.add(row);
      }
    }
    return new Answer(200, rowsAnswer(found, more), era);
  }

  private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
    while (true) {
      if (after > version) {
        return new Answer(410, "{}", era);
      }
      Map<String, Row> changed = new LinkedHashMap<>();
      for (Row row : history) {
        if (row.version() > after && row.table().equals(query.get("table"))) {
          changed.remove(row.key());
          changed.put(row.key(), row);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || left <= 0) {
        return new Answer(200, rowsAnswer(changed.values(), false), era);
      }
      wait(left);
    }
  }

  private String rowsAnswer(Iterable<Row> listed, boolean more) {
    List<Map<String, Object>> list = new ArrayList<>();
    for (Row row : listed) {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("table", row.table());
      entry.put("part", "");
      entry.put("key", row.key());
      entry.put("ver", row.version());
      if (row.value() == null) {
        entry.put("removed", true);
      } else {
        entry.put("value", row.value());
      }
      list.add(entry);
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("rows", list);
    answer.put("has_more", more);
    answer.put("ver", version);
    answer.put("now_s", System.nanoTime() / 1e9);
    return Json.write(answer);
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int start = target.indexOf('?');
    if (start >= 0) {
      for (String part : target.substring(start + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
