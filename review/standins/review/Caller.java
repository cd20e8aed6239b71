package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A requester: sends requests one at a time over a connection that it keeps open. */
final class Caller {

  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final Record record;
  private final InetSocketAddress address;
  private Socket socket;
  private BufferedInputStream in;

  /**
   * What a requester saw of one request.
   *
   * @param status the status of the answer; 0 if the connection ended, -1 if there was no answer
   */
  record Outcome(String requestId, double sentAt, double endedAt, int status, String body) {}

  Caller(Record record, InetSocketAddress address) {
    this.record = record;
    this.address = address;
  }

  /** Sends one request and waits for its answer until the time limit. */
  Outcome send(String method, String target, String key, long deadlineMillis, byte[] body) {
    String id = "%08x%08x".formatted(System.nanoTime() & 0xffffffffL, NEXT_ID.incrementAndGet());
    double sentAt = record.now();
    Outcome outcome;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(address, 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout((int) deadlineMillis);
      Http.write(
          socket.getOutputStream(),
          method + " " + target + " HTTP/1.1",
          "Host: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"
              .formatted(id, deadlineMillis, key),
          body);
      Http.Message answer = Http.read(in);
      if (answer == null) {
        close();
        outcome = new Outcome(id, sentAt, record.now(), 0, "");
      } else {
        if (answer.header("Connection").contains("close")) {
          close();
        }
        outcome =
            new Outcome(id, sentAt, record.now(), answer.status(), new String(answer.body()));
      }
    } catch (java.net.SocketTimeoutException e) {
      close();
      outcome = new Outcome(id, sentAt, record.now(), -1, "");
    } catch (IOException e) {
      close();
      outcome = new Outcome(id, sentAt, record.now(), 0, "");
    }
    record.line(
        "request %s %s %s (%d bytes) sent at %.3f to %s: %s",
        id,
        method,
        target,
        body.length,
        sentAt,
        address,
        outcome.status() > 0
            ? "status " + outcome.status()
            : outcome.status() == 0 ? "the connection ended" : "no answer");
    return outcome;
  }

  void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Closed all the same.
    }
    socket = null;
  }
}
