package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A config raises the limit on the size of bodies. Requesters that keep their connections send
 * larger uploads after it is in force.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class LimitsCase {

  private static final int REQUESTERS = 20;
  private static final int SMALL_LIMIT = 1_000_000;
  private static final int LARGE_LIMIT = 67_108_864;
  private static final int UPLOAD_BYTES = 2_000_000;

  private LimitsCase() {}

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
      for (int i = 0; i < 4; i++) {
        new Server(machine.ip(), "i-" + i, Config.SERVICE, "khomas-a", 6, 50, record)
            .announce(store, "ready");
      }
      store.put("op", "config", config(5, trouble ? SMALL_LIMIT : LARGE_LIMIT));
      machine.start(repository, store, machines, peerPort);
      try (machine) {
        if (!machine.awaitReady(15)) {
          record.say("the machine did not become ready");
          return 2;
        }
        return play(store, machine, record, trouble);
      }
    }
  }

  private static Object config(long version, long bodyBytes) {
    return new Config(version)
        .route("read", "/puka1/", "safe", 1.5)
        .route("upload", "/leny1/", "upload", 5)
        .tenant("cuka1", List.of("key-1"), 0, 0)
        .bodyBytes(bodyBytes)
        .document();
  }

  private static int play(Store store, Machine machine, Record record, boolean trouble)
      throws InterruptedException {
    List<Integer> statuses = new ArrayList<>();
    AtomicBoolean upload = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    byte[] body = new byte[UPLOAD_BYTES];
    int[] reads = new int[1];
    for (int i = 0; i < REQUESTERS; i++) {
      int number = i;
      threads.add(
          Threads.start(
              () -> {
                try (Requester requester = new Requester(machine.front(), record)) {
                  while (!upload.get()) {
                    Requester.Result read = requester.get("/puka1/" + number, "key-1", 1500);
                    synchronized (statuses) {
                      reads[0] += read.status() == 200 ? 1 : 0;
                    }
                    Threads.sleep(500);
                  }
                  // Uploads one after the other; the limit on their total is not the point here.
                  Threads.sleep(400L * number);
                  Requester.Result result =
                      requester.send("POST", "/leny1/" + number, "key-1", body, 5000);
                  synchronized (statuses) {
                    statuses.add(result.status());
                  }
                }
              }));
    }
    Threads.sleep(3000);
    if (trouble) {
      store.put("op", "config", config(9, LARGE_LIMIT));
      record.say(
          "%.1f s: the store has acknowledged the config; bodies may have %d bytes",
          record.seconds(), LARGE_LIMIT);
    }
    Threads.sleep(4000);
    record.say("%.1f s: %d requesters upload %d bytes", record.seconds(), REQUESTERS, UPLOAD_BYTES);
    upload.set(true);
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    long denied = statuses.stream().filter(status -> status == 413).count();
    long served = statuses.stream().filter(status -> status == 200).count();
    int requests = reads[0] + statuses.size();
    record.say(
        "%d reads answered; of %d uploads %d served, %d answered 413: %s",
        reads[0], statuses.size(), served, denied, statuses);
    if (reads[0] == 0 || statuses.size() < REQUESTERS) {
      return 2;
    }
    boolean broken = denied > 5 + requests / 500.0;
    record.say(broken ? "DENIED is broken" : "DENIED is kept");
    return broken ? 1 : 0;
  }
}
