package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service, as the protocol page describes a sound one. */
final class ServerStandIn {

  private static final int QUEUE = 30;

  /** A request that the server began to run. */
  record Run(double atSeconds, String requestId, String startLine) {}

  private final Record record;
  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final long workMillis;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger present = new AtomicInteger();
  private final List<Run> runs = new CopyOnWriteArrayList<>();

  ServerStandIn(
      Record record, String id, String service, String zone, int slots, long workMillis)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start(id, this::accept);
  }

  String id() {
    return id;
  }

  List<Run> runs() {
    return runs;
  }

  /** Returns the entry that the server writes to the store. */
  String entry(String state) {
    return """
        {"address":"127.0.0.1:%d","born":%d,"info":{"service":"%s","version":"v1","zone":"%s",\
        "slots":%d},"status":{"state":"%s","seq_no":1,"cold_left_s":0}}"""
        .formatted(listener.getLocalPort(), born, service, zone, slots, state);
  }

  private void accept() throws IOException {
    while (true) {
      Socket connection = listener.accept();
      Threads.start(id + " connection", () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, connection);
      }
    }
  }

  private void answer(Http.Message request, Socket connection) throws IOException {
    String requestId = request.header("Request-Id");
    String common = "Request-Id: " + requestId + "\r\nKeep-Alive: timeout=10\r\n";
    if (request.target().equals("/health")) {
      write(connection, "200 OK", common + "Instance-Id: " + id + "\r\n", "");
      return;
    }
    String expected = request.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(connection, "421 Misdirected Request", common + "Instance-Id: " + id + "\r\n", "");
      return;
    }
    int number = present.incrementAndGet();
    try {
      if (number > slots + QUEUE) {
        write(connection, "503 Service Unavailable", common + "Not-Executed: 1\r\n", "");
        return;
      }
      runs.add(new Run(record.now(), requestId, request.startLine()));
      record.line("server %s runs %s (%s)", id, requestId, request.startLine());
      Threads.pause(workMillis);
      String load =
          "Server-Load: %d,%d,%d\r\n"
              .formatted(Math.min(slots, number - 1), Math.max(0, number - 1 - slots), slots);
      String body = id + " " + requestId + " " + request.body().length + "\n";
      write(connection, "200 OK", common + load + "Response-Stamp: " + requestId + "\r\n", body);
    } finally {
      present.decrementAndGet();
    }
  }

  private static void write(Socket connection, String status, String headers, String body)
      throws IOException {
    Http.write(
        connection.getOutputStream(),
        "HTTP/1.1 " + status,
        headers,
        body.getBytes(StandardCharsets.US_ASCII));
  }
}
