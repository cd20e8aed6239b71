package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A new version of a service with many routes is brought in, and requesters use all routes. After
 * more than a minute, one tenant sends more than its allotment.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class QuotaCase {

  private static final int ROUTES = 700;
  private static final int ROLLOUT_SECONDS = 100;
  private static final int WAIT_SECONDS = 66;
  private static final int RATE = 40;
  private static final int BURST = 40;
  private static final double WINDOW_SECONDS = 5;
  private static final double OVERSHOOT = 0.1;
  private static final int SLACK = 20;

  private QuotaCase() {}

  private record Sent(String requestId, double at) {}

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
    List<Machine> machines = Machine.create(folder, "khomas-a", "khomas-b");
    int peerPort = Machine.freePort(machines.get(0).ip());
    try (Store store = new Store(new InetSocketAddress("127.0.0.1", 0))) {
      List<Server> servers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        servers.add(server(machines, i, "v1", record));
      }
      servers.forEach(server -> server.announce(store, "ready"));
      store.put("op", "config", config());
      try {
        for (Machine machine : machines) {
          machine.start(repository, store, machines, peerPort);
        }
        for (Machine machine : machines) {
          if (!machine.awaitReady(15)) {
            record.say("a machine did not become ready");
            return 2;
          }
        }
        return play(store, servers, machines, record, trouble);
      } finally {
        machines.forEach(Machine::close);
      }
    }
  }

  private static Server server(List<Machine> machines, int number, String version, Record record)
      throws IOException {
    return new Server(
        machines.get(number % 2).ip(),
        "i-" + version + "-" + number,
        Config.SERVICE,
        number % 2 == 0 ? "khomas-a" : "khomas-b",
        version,
        20,
        20,
        record);
  }

  private static Object config() {
    Config config = new Config(1);
    for (int i = 0; i < ROUTES; i++) {
      config.route(String.format("r-frge%03d", i), "/leny" + i + "/", "safe", 1);
    }
    return config
        .tenant("cuka1", List.of("key-1"), RATE, BURST)
        .tenant("cuka2", List.of("key-2"), 0, 0)
        .document();
  }

  private static int play(
      Store store, List<Server> servers, List<Machine> machines, Record record, boolean trouble)
      throws IOException, InterruptedException {
    Threads.sleep(2000);
    if (trouble) {
      for (int i = 0; i < 4; i++) {
        servers.add(server(machines, i, "v2", record));
      }
      servers.subList(4, 8).forEach(server -> server.announce(store, "ready"));
      Threads.sleep(1000);
      Map<String, Object> order = new LinkedHashMap<>();
      order.put("service", Config.SERVICE);
      order.put("to", "v2");
      order.put("over_s", ROLLOUT_SECONDS);
      store.put("op", "rollout/" + Config.SERVICE, order);
      record.say("%.1f s: the new version is ordered", record.seconds());
    }
    Threads.sleep(1500);
    useAllRoutes(machines, record);
    record.say("%.1f s: all routes have been used", record.seconds());
    Threads.sleep(1000L * WAIT_SECONDS);
    record.say("%.1f s: the tenant sends more than its allotment", record.seconds());
    List<Sent> sent = sendBeyondAllotment(machines, record);
    return judge(servers, sent, record);
  }

  /** Sends a request on each route to each machine. */
  private static void useAllRoutes(List<Machine> machines, Record record)
      throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (Machine machine : machines) {
      for (int part = 0; part < 4; part++) {
        int first = part;
        threads.add(
            Threads.start(
                () -> {
                  try (Requester requester = new Requester(machine.front(), record)) {
                    for (int i = first; i < ROUTES; i += 4) {
                      requester.get("/leny" + i + "/x" + i, "key-2", 1000);
                    }
                  }
                }));
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Sends 3 times the allotment for 12 s, a half of it to each machine. */
  private static List<Sent> sendBeyondAllotment(List<Machine> machines, Record record)
      throws InterruptedException {
    List<Sent> sent = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    AtomicLong number = new AtomicLong();
    long start = System.nanoTime();
    long end = start + 12_000_000_000L;
    for (int i = 0; i < 16; i++) {
      Machine machine = machines.get(i % 2);
      threads.add(
          Threads.start(
              () -> {
                try (Requester requester = new Requester(machine.front(), record)) {
                  while (System.nanoTime() < end) {
                    long due = start + number.getAndIncrement() * 1_000_000_000L / (3 * RATE);
                    long waitMillis = (due - System.nanoTime()) / 1_000_000;
                    if (waitMillis > 0) {
                      Threads.sleep(waitMillis);
                    }
                    double at = record.seconds();
                    Requester.Result result = requester.get("/leny0/" + due, "key-1", 1000);
                    synchronized (sent) {
                      sent.add(new Sent(result.requestId(), at));
                    }
                  }
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return sent;
  }

  private static int judge(List<Server> servers, List<Sent> sent, Record record) {
    List<Double> run = new ArrayList<>();
    for (Sent request : sent) {
      if (servers.stream().anyMatch(server -> server.run.contains(request.requestId()))) {
        run.add(request.at());
      }
    }
    run.sort(null);
    int most = 0;
    for (int first = 0; first < run.size(); first++) {
      int last = first;
      while (last < run.size() && run.get(last) < run.get(first) + WINDOW_SECONDS) {
        last++;
      }
      most = Math.max(most, last - first);
    }
    double allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK;
    record.say(
        "%d requests of the tenant, %d run; at most %d were sent and run in %.0f s, %.0f allowed",
        sent.size(), run.size(), most, WINDOW_SECONDS, allowed);
    if (run.isEmpty()) {
      return 2;
    }
    boolean broken = most > allowed;
    record.say(broken ? "QUOTA is broken" : "QUOTA is kept");
    return broken ? 1 : 0;
  }
}
