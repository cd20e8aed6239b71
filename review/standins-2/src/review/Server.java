package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stands in for a sound backend server. */
final class Server implements AutoCloseable {

  private final String id;
  private final String service;
  private final String zone;
  private final String version;
  private final long born = System.currentTimeMillis();
  private final int slots;
  private final ServerSocket socket;
  private final Record record;
  private final long workMillis;
  private long sequence;

  /** Ids of the requests that the server has begun to work on. */
  final Set<String> run = ConcurrentHashMap.newKeySet();

  Server(
      InetAddress ip, String id, String service, String zone, int slots, long work, Record record)
      throws IOException {
    this(ip, id, service, zone, "v1", slots, work, record);
  }

  Server(
      InetAddress ip,
      String id,
      String service,
      String zone,
      String version,
      int slots,
      long work,
      Record record)
      throws IOException {
    this.version = version;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = work;
    this.record = record;
    this.socket = new ServerSocket(0, 200, ip);
    Threads.start(this::accept);
  }

  String id() {
    return id;
  }

  /** Writes the entry of a server that is not cold into the store. */
  void announce(Store store, String state) {
    announce(store, state, 0);
  }

  /** Writes the server's entry into the store. */
  synchronized void announce(Store store, String state, double coldSeconds) {
    InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
    Map<String, Object> info = new LinkedHashMap<>();
    info.put("service", service);
    info.put("version", version);
    info.put("zone", zone);
    info.put("slots", slots);
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("state", state);
    status.put("seq_no", ++sequence);
    status.put("cold_left_s", coldSeconds);
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("address", address.getAddress().getHostAddress() + ":" + address.getPort());
    entry.put("born", born);
    entry.put("info", info);
    entry.put("status", status);
    store.put("servers", id, entry);
  }

  @Override
  public void close() throws IOException {
    socket.close();
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
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        String requestId = request.header("Request-Id");
        List<String> headers = new ArrayList<>();
        headers.add("Request-Id: " + requestId);
        headers.add("Keep-Alive: timeout=10");
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          headers.add("Not-Executed: 1");
          Http.write(connection.getOutputStream(), "HTTP/1.1 421 Other", headers, new byte[0]);
          continue;
        }
        run.add(requestId);
        record.line(
            "server %s runs %s of tenant %s", id, requestId, request.header("Tenant-Id"));
        if (workMillis > 0) {
          Threads.sleep(workMillis);
        }
        headers.add("Response-Stamp: " + id + "." + requestId);
        Http.write(
            connection.getOutputStream(),
            "HTTP/1.1 200 OK",
            headers,
            ("done by " + id).getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // The connection was closed by the machine.
      return;
    }
  }
}
