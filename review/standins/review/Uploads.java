package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Requesters upload bodies within the limit of the config. The entry VM that gets them runs out of
 * memory, its threads end, and the process goes on accepting connections without any answer.
 */
public final class Uploads {

  private static final int UPLOADERS = 24;
  private static final int LARGE_BYTES = 8_000_000;
  private static final int SMALL_BYTES = 20_000;
  private static final int PIECES = 20;
  private static final long UPLOAD_MILLIS = 2000;
  private static final double UPLOADS_FROM_S = 6;
  private static final double UPLOADS_FOR_S = 9;

  /** contact_s, after the 5 s for which a machine may count as choked by the uploads. */
  private static final double CONTACT_S = 5 + 3;

  private static final double JUDGED_FROM_S = UPLOADS_FROM_S + UPLOADS_FOR_S + CONTACT_S + 1;
  private static final double END_S = JUDGED_FROM_S + 8;
  private static final int CALLERS = 8;

  /** The longest timeout_s of the two routes, and the half second after it. */
  private static final double ANSWERED_WITHIN_S = 1.2 + 0.5;

  private static final AtomicLong NEXT_UPLOAD = new AtomicLong();

  private Uploads() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Cases.run(Path.of(arguments[0]), Uploads::run, "khomas-a", "erongo-a"));
  }

  private static boolean run(Deployment deployment, boolean trouble) throws Exception {
    Record record = deployment.record;
    deployment.store.put("op", "config", Config.plain(1));
    for (String zone : List.of("khomas-a", "erongo-a")) {
      for (String service : List.of("catalogue", "orders")) {
        for (int i = 1; i <= 3; i++) {
          ServerStandIn server =
              new ServerStandIn(
                  record, "i-" + service + "-" + zone + "-" + i, service, zone, 5, 100);
          deployment.store.put("servers", server.id(), server.entry("ready"));
        }
      }
    }
    deployment.startVms();
    EntryVm vm = deployment.vms.get(0);
    List<Caller.Outcome> outcomes = new CopyOnWriteArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Threads.start("caller", () -> call(deployment, vm, number, outcomes));
    }

    deployment.waitUntil(UPLOADS_FROM_S);
    for (int i = 0; i < UPLOADERS; i++) {
      Threads.start(
          "uploader", () -> upload(deployment, vm, trouble ? LARGE_BYTES : SMALL_BYTES));
    }
    deployment.waitUntil(END_S + ANSWERED_WITHIN_S);

    long before = outcomes.stream().filter(o -> o.sentAt() < UPLOADS_FROM_S).count();
    List<Caller.Outcome> judged =
        outcomes.stream()
            .filter(o -> o.sentAt() >= JUDGED_FROM_S && o.sentAt() < END_S - ANSWERED_WITHIN_S)
            .toList();
    long unanswered =
        judged.stream()
            .filter(o -> o.status() <= 0 || o.endedAt() - o.sentAt() > ANSWERED_WITHIN_S)
            .count();
    record.result(
        "%d requests were answered before the uploads; of %d sent from %.1f s on, %.1f s after the"
            + " last upload began, %d had no answer after %.1f s; the process is %s",
        before,
        judged.size(),
        JUDGED_FROM_S,
        JUDGED_FROM_S - UPLOADS_FROM_S - UPLOADS_FOR_S,
        unanswered,
        ANSWERED_WITHIN_S,
        vm.isAlive() ? "still running" : "gone");
    deployment
        .logs()
        .lines()
        .filter(line -> line.contains("OutOfMemoryError"))
        .distinct()
        .limit(5)
        .forEach(line -> record.line("log: %s", line));
    if (before == 0 || judged.isEmpty()) {
      throw new IllegalStateException("no requests were sent");
    }
    return 2 * unanswered <= judged.size();
  }

  private static void call(
      Deployment deployment, EntryVm vm, int number, List<Caller.Outcome> outcomes) {
    Caller caller = new Caller(deployment.record, vm.callers());
    while (deployment.record.now() < END_S) {
      boolean safe = number % 2 == 0;
      outcomes.add(
          caller.send(
              safe ? "GET" : "POST",
              (safe ? "/catalogue/" : "/orders/") + number,
              Config.KEY,
              2000,
              new byte[safe ? 0 : 1000]));
      Threads.pause(100);
    }
  }

  /** Uploads bodies one after the other, each in pieces, within header_timeout_s. */
  private static void upload(Deployment deployment, EntryVm vm, int bytes) {
    byte[] piece = new byte[bytes / PIECES];
    while (deployment.record.now() < UPLOADS_FROM_S + UPLOADS_FOR_S) {
      String id = "up%014x".formatted(NEXT_UPLOAD.incrementAndGet());
      double sentAt = deployment.record.now();
      String outcome;
      try (Socket socket = new Socket()) {
        socket.connect(vm.callers(), 1000);
        socket.setSoTimeout(2000);
        String head =
            "POST /orders/upload HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                + id
                + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer "
                + Config.KEY
                + "\r\nContent-Length: "
                + piece.length * PIECES
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < PIECES; i++) {
          socket.getOutputStream().write(piece);
          Threads.pause(UPLOAD_MILLIS / PIECES);
        }
        Http.Message answer = Http.read(socket.getInputStream());
        outcome = answer == null ? "the connection ended" : "status " + answer.status();
      } catch (IOException e) {
        outcome = e.toString();
      }
      deployment.record.line(
          "upload %s (%d bytes) sent at %.3f: %s", id, piece.length * PIECES, sentAt, outcome);
      Threads.pause(100);
    }
  }
}
