package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters read once, upload a layout on the same connection, and keep the connection for as long
 * as the config lets them. For some seconds many users come at once.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class UploadCase {

  private static final int UPLOAD_BYTES = 360_000;
  private static final double USUAL_PER_SECOND = 12;
  private static final double BURST = 2.5;
  private static final double BURST_SECONDS = 6.9;
  private static final double BURST_AT = 14;
  private static final double TRAFFIC_SECONDS = 26;

  /** Four fifths of the idle timeout of 15 s. */
  private static final long KEPT_MILLIS = 12_000;

  private static final long WORK_MILLIS = 1000;
  private static final long DEADLINE_MILLIS = 5000;

  private UploadCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[2]))) {
      exit = run(Path.of(arguments[0]), Path.of(arguments[1]), record, trouble);
    } catch (IOException | IllegalStateException e) {
      System.out.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  private static int run(Path repository, Path folder, Record record, boolean trouble)
      throws IOException, InterruptedException {
    List<Machine> machines = Machine.create(folder, "khomas-a");
    Machine machine = machines.get(0);
    int peerPort = Machine.freePort(machine.ip());
    try (Store store = new Store(new InetSocketAddress("127.0.0.1", 0))) {
      List<Server> servers = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Server server =
            new Server(machine.ip(), "i-" + i, Config.SERVICE, "khomas-a", 6, WORK_MILLIS, record);
        servers.add(server);
        server.announce(store, "ready");
      }
      Server reads =
          new Server(machine.ip(), "i-8", Config.OTHER_SERVICE, "khomas-a", 6, 5, record);
      reads.announce(store, "ready");
      store.put(
          "op",
          "config",
          new Config(1)
              .route("read", "/puka1/", "safe", 1.5, Config.OTHER_SERVICE)
              .route("upload", "/leny1/", "upload", 5)
              .tenant("cuka1", List.of("key-1"), 0, 0)
              .document());
      machine.start(repository, store, machines, peerPort);
      try (machine) {
        if (!machine.awaitReady(15)) {
          record.say("the machine did not become ready");
          return 2;
        }
        return play(servers, machine, record, trouble);
      }
    }
  }

  private static int play(List<Server> servers, Machine machine, Record record, boolean trouble)
      throws InterruptedException {
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger connections = new AtomicInteger();
    AtomicInteger mostConnections = new AtomicInteger();
    List<String> unanswered = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    byte[] body = new byte[UPLOAD_BYTES];
    long start = System.nanoTime();
    boolean announced = false;
    double due = 0;
    while (due < TRAFFIC_SECONDS && machine.process().isAlive()) {
      long waitMillis = (long) (1000 * due) - (System.nanoTime() - start) / 1_000_000;
      if (waitMillis > 0) {
        Threads.sleep(waitMillis);
      }
      threads.add(
          Threads.start(
              () -> {
                mostConnections.accumulateAndGet(connections.incrementAndGet(), Math::max);
                try (Requester requester = new Requester(machine.front(), record)) {
                  requester.get("/puka1/1", "key-1", 1500);
                  Requester.Result result =
                      requester.send("POST", "/leny1/1", "key-1", body, DEADLINE_MILLIS);
                  if (result.status() == 0) {
                    synchronized (unanswered) {
                      unanswered.add(result.requestId());
                    }
                  } else {
                    answered.incrementAndGet();
                    long end = System.nanoTime() + KEPT_MILLIS * 1_000_000;
                    while (System.nanoTime() < end && machine.process().isAlive()) {
                      Threads.sleep(100);
                    }
                  }
                } finally {
                  connections.decrementAndGet();
                }
              }));
      boolean inBurst = trouble && due >= BURST_AT && due < BURST_AT + BURST_SECONDS;
      if (inBurst && !announced) {
        announced = true;
        record.say("%.1f s: %.1f times as many users come", record.seconds(), BURST);
      }
      due += 1 / (USUAL_PER_SECOND * (inBurst ? BURST : 1));
    }
    boolean ended = !machine.process().isAlive();
    if (ended) {
      record.say(
          "%.1f s: the process has ended by itself, exit code %d",
          record.seconds(), machine.process().exitValue());
    }
    for (Thread thread : threads) {
      thread.join(DEADLINE_MILLIS + 2000);
    }
    if (!ended && !machine.process().isAlive()) {
      record.say("the process has ended by itself, exit code %d", machine.process().exitValue());
    }
    long passedOn =
        unanswered.stream()
            .filter(id -> servers.stream().anyMatch(server -> server.run.contains(id)))
            .count();
    record.say(
        "%d uploads answered, at most %d connections; %d uploads on kept connections ended without"
            + " an answer, %d of them had been passed on to a sound server",
        answered.get(), mostConnections.get(), unanswered.size(), passedOn);
    if (answered.get() == 0) {
      return 2;
    }
    boolean broken = passedOn > 3;
    record.say(broken ? "LOST is broken" : "LOST is kept");
    return broken ? 1 : 0;
  }
}
