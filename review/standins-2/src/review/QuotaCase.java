package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * New versions of two services with many routes are brought in by turns, each within 16 s, and
 * requesters use all routes. After more than a minute, one tenant sends more than its allotment.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class QuotaCase {

  private static final int ROUTES_OF_SERVICE = 415;
  private static final int ROLLOUT_SECONDS = 16;

  /** Time between two orders, for one service and the other by turns. */
  private static final long ORDER_INTERVAL_MILLIS = 8000;

  private static final int ORDERS = 10;
  private static final int WAIT_SECONDS = 76;

  /** Time for which a server is cold that starts during traffic, as the config says. */
  private static final double COLD_SECONDS = 3;

  /** Time from the start of new servers until requesters use all routes of their service. */
  private static final long USE_AFTER_MILLIS = 5000;
  private static final List<String> SERVICES = List.of(Config.SERVICE, Config.OTHER_SERVICE);
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
      Map<String, List<Server>> running = new ConcurrentHashMap<>();
      List<Server> servers = new ArrayList<>();
      for (String service : SERVICES) {
        running.put(service, servers(machines, service, 1, record));
        servers.addAll(running.get(service));
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
        return play(store, running, servers, machines, record, trouble);
      } finally {
        machines.forEach(Machine::close);
      }
    }
  }

  private static List<Server> servers(
      List<Machine> machines, String service, int version, Record record) throws IOException {
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      servers.add(
          new Server(
              machines.get(i).ip(),
              "i-" + service + "-v" + version + "-" + i,
              service,
              i == 0 ? "khomas-a" : "khomas-b",
              "v" + version,
              40,
              10,
              record));
    }
    return servers;
  }

  /** Returns a config with all routes; its row has less than 65,536 bytes. */
  private static Object config() {
    Config config = new Config(1).withFewColumns();
    for (String service : SERVICES) {
      for (int i = 0; i < ROUTES_OF_SERVICE; i++) {
        String name = "r-" + service + "-frge9it7k2-" + (100 + i);
        config.route(name, path(service, i), "safe", 1, service);
      }
    }
    return config
        .tenant("cuka1", List.of("key-1"), RATE, BURST)
        .tenant("cuka2", List.of("key-2"), 0, 0)
        .document();
  }

  private static String path(String service, int route) {
    return "/" + service.charAt(0) + route + "/";
  }

  private static int play(
      Store store,
      Map<String, List<Server>> running,
      List<Server> servers,
      List<Machine> machines,
      Record record,
      boolean trouble)
      throws IOException, InterruptedException {
    Threads.sleep(2000);
    long start = System.nanoTime();
    Thread rollouts =
        Threads.start(
            () -> {
              for (int i = 0; i < ORDERS && trouble; i++) {
                sleepUntil(start, i * ORDER_INTERVAL_MILLIS);
                String service = SERVICES.get(i % 2);
                int version = 2 + i / 2;
                Threads.start(
                    () -> rollOut(store, running, servers, machines, service, version, record));
              }
            });
    for (int i = 0; i < ORDERS - 1; i++) {
      sleepUntil(start, USE_AFTER_MILLIS + i * ORDER_INTERVAL_MILLIS);
      useRoutes(machines, SERVICES.get(i % 2), record);
      record.line("the routes of %s have been used", SERVICES.get(i % 2));
      if (USE_AFTER_MILLIS + (i + 1) * ORDER_INTERVAL_MILLIS > 1000L * WAIT_SECONDS) {
        break;
      }
    }
    sleepUntil(start, 1000L * WAIT_SECONDS);
    record.say("%.1f s: the tenant sends more than its allotment", record.seconds());
    List<Sent> sent = sendBeyondAllotment(machines, record);
    rollouts.join();
    return judge(servers, sent, record);
  }

  private static void sleepUntil(long startNanos, long millis) {
    long left = millis - (System.nanoTime() - startNanos) / 1_000_000;
    if (left > 0) {
      Threads.sleep(left);
    }
  }

  /** Brings in the next version of a service; the old servers stop when that is completed. */
  private static void rollOut(
      Store store,
      Map<String, List<Server>> running,
      List<Server> servers,
      List<Machine> machines,
      String service,
      int version,
      Record record) {
    try {
      List<Server> after = servers(machines, service, version, record);
      synchronized (servers) {
        servers.addAll(after);
      }
      after.forEach(server -> server.announce(store, "ready", COLD_SECONDS));
      Threads.sleep((long) (1000 * COLD_SECONDS));
      after.forEach(server -> server.announce(store, "ready"));
      Threads.sleep(500);
      List<Server> before = running.get(service);
      Map<String, Object> order = new LinkedHashMap<>();
      order.put("service", service);
      order.put("to", "v" + version);
      order.put("over_s", ROLLOUT_SECONDS);
      store.put("op", "rollout/" + service, order);
      record.say("%.1f s: v%d of %s is ordered", record.seconds(), version, service);
      for (int i = 0; i < 10 * ROLLOUT_SECONDS; i++) {
        Threads.sleep(100);
        if (store.get("status", "rollout/" + service) instanceof Map<?, ?> status
            && "completed".equals(status.get("state"))
            && ("v" + version).equals(status.get("to"))) {
          record.say("%.1f s: v%d of %s is completed", record.seconds(), version, service);
          running.put(service, after);
          for (Server old : before) {
            store.remove("servers", old.id());
            old.close();
          }
          return;
        }
      }
      record.say("v%d of %s was not completed in time", version, service);
    } catch (IOException e) {
      record.say("a server could not be started: %s", e);
    }
  }

  /** Sends a request on each route of a service to each machine. */
  private static void useRoutes(List<Machine> machines, String service, Record record)
      throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (Machine machine : machines) {
      for (int part = 0; part < 8; part++) {
        int first = part;
        threads.add(
            Threads.start(
                () -> {
                  try (Requester requester = new Requester(machine.front(), record)) {
                    for (int i = first; i < ROUTES_OF_SERVICE; i += 8) {
                      requester.get(path(service, i) + "x", "key-2", 1000);
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
                    Requester.Result result = requester.get(path(SERVICES.get(0), 0) + due, "key-1", 1000);
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
