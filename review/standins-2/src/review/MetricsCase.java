package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The config grows by many routes, requesters of many tenants use them, and the metrics of the role
 * are fetched every 5 s, as while an incident is examined.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class MetricsCase {

  private static final int TENANTS = 80;
  private static final int MORE_ROUTES = 350;
  private static final int REQUESTERS = 40;
  private static final int REQUESTS_PER_SECOND = 220;
  private static final int TRAFFIC_SECONDS = 98;

  private MetricsCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[2]))) {
      exit = run(repository, folder, record, trouble);
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
      for (int i = 0; i < 12; i++) {
        Server server =
            new Server(machine.ip(), "i-" + i, Config.SERVICE, "khomas-a", 8, 100, record);
        servers.add(server);
        server.announce(store, "ready");
      }
      store.put("op", "config", config(1, 0).document());
      machine.start(repository, store, machines, peerPort);
      try (machine) {
        if (!machine.awaitReady(15)) {
          record.say("the machine did not become ready");
          return 2;
        }
        return play(store, servers, machine, Machine.metrics(repository), record, trouble);
      }
    }
  }

  private static Config config(long version, int moreRoutes) {
    Config config = new Config(version);
    for (int i = 0; i < 4 + moreRoutes; i++) {
      config.route("route-" + i, "/leny" + i + "/", "safe", 4);
    }
    for (int i = 0; i < TENANTS; i++) {
      config.tenant("cuka" + i, List.of("key-" + i), 0, 0);
    }
    return config;
  }

  private static int play(
      Store store,
      List<Server> servers,
      Machine machine,
      String metrics,
      Record record,
      boolean trouble)
      throws InterruptedException {
    int routes = trouble ? 4 + MORE_ROUTES : 4;
    if (trouble) {
      store.put("op", "config", config(2, MORE_ROUTES).document());
      record.say("the config grows by %d routes", MORE_ROUTES);
      Threads.sleep(3000);
    }
    AtomicLong next = new AtomicLong();
    AtomicInteger answered = new AtomicInteger();
    List<String> unanswered = new ArrayList<>();
    ConcurrentHashMap<String, Boolean> seen = new ConcurrentHashMap<>();
    long start = System.nanoTime();
    long end = start + TRAFFIC_SECONDS * 1_000_000_000L;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTERS; i++) {
      Requester requester = new Requester(machine.front(), record);
      threads.add(
          Threads.start(
              () -> {
                while (System.nanoTime() < end && machine.process().isAlive()) {
                  long number = next.getAndIncrement();
                  long due = start + number * 1_000_000_000L / REQUESTS_PER_SECOND;
                  long waitMillis = (due - System.nanoTime()) / 1_000_000;
                  if (waitMillis > 0) {
                    Threads.sleep(waitMillis);
                  }
                  long combination = number % ((long) routes * TENANTS);
                  String path = "/leny" + combination / TENANTS + "/" + number;
                  String key = "key-" + combination % TENANTS;
                  Requester.Result result = requester.get(path, key, 4000);
                  if (result.status() == 0) {
                    synchronized (unanswered) {
                      unanswered.add(result.requestId());
                    }
                  } else {
                    answered.incrementAndGet();
                    seen.put(combination / TENANTS + "/" + combination % TENANTS, true);
                  }
                }
                requester.close();
              }));
    }
    int slash = metrics.indexOf('/');
    InetSocketAddress address =
        new InetSocketAddress(machine.ip(), Integer.parseInt(metrics.substring(0, slash)));
    while (System.nanoTime() < end && machine.process().isAlive()) {
      Threads.sleep(5000);
      long fetchStart = System.nanoTime();
      try {
        int bytes = Machine.call(address, metrics.substring(slash)).body().length;
        record.say(
            "%.1f s: metrics fetched in %d ms, %d bytes, %d answers, %d routes and tenants",
            record.seconds(),
            (System.nanoTime() - fetchStart) / 1_000_000,
            bytes,
            answered.get(),
            seen.size());
      } catch (IOException e) {
        record.say("%.1f s: metrics not fetched: %s", record.seconds(), e);
      }
    }
    for (Thread thread : threads) {
      thread.join(6000);
    }
    boolean ended = !machine.process().isAlive();
    if (ended) {
      record.say(
          "%.1f s: the process has ended by itself, exit code %d",
          record.seconds(), machine.process().exitValue());
    }
    long passedOn =
        unanswered.stream()
            .filter(id -> servers.stream().anyMatch(server -> server.run.contains(id)))
            .count();
    record.say(
        "%d answers, %d requests on kept connections ended without an answer, %d of them had been"
            + " passed on to a sound server",
        answered.get(), unanswered.size(), passedOn);
    boolean broken = passedOn > 3;
    record.say(broken ? "LOST is broken" : "LOST is kept");
    return broken ? 1 : 0;
  }
}
