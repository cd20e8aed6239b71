package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A requester with one kept connection; sends one request at a time. Not thread-safe. */
final class Requester implements AutoCloseable {

  private static final AtomicLong REQUESTS = new AtomicLong();

  private final InetSocketAddress front;
  private final Record record;
  private Socket socket;
  private BufferedInputStream in;

  Requester(InetSocketAddress front, Record record) {
    this.front = front;
    this.record = record;
  }

  /** How a request ended; the status is 0 if the connection ended without an answer. */
  record Result(String requestId, int status) {}

  Result get(String path, String key, long deadlineMillis) {
    return send("GET", path, key, new byte[0], deadlineMillis);
  }

  Result send(String method, String path, String key, byte[] body, long deadlineMillis) {
    String requestId = String.format("%016x", REQUESTS.incrementAndGet());
    record.line(
        "sent %s %s %s with key %s and %d bytes to %s",
        requestId, method, path, key, body.length, front);
    int status = 0;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(front, 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout((int) deadlineMillis);
      Http.write(
          socket.getOutputStream(),
          method + " " + path + " HTTP/1.1",
          List.of(
              "Host: " + Config.HOST,
              "Request-Id: " + requestId,
              "Deadline-Ms: " + deadlineMillis,
              "Authorization: Bearer " + key),
          body);
      Http.Message answer = Http.read(in);
      if (answer == null) {
        record.line("closed %s without an answer", requestId);
        close();
      } else {
        status = answer.status();
        record.line("answered %s %d", requestId, status);
        if ("close".equalsIgnoreCase(answer.header("Connection"))) {
          close();
        }
      }
    } catch (IOException e) {
      record.line("ended %s: %s", requestId, e);
      close();
    }
    return new Result(requestId, status);
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
      socket = null;
    }
  }
}
