package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A config moves a route to another service and takes a key away. All machines have it in force.
 * Then the store comes back from a copy that lacks it, and the operator writes it again some
 * seconds later.
 *
 * <p>Arguments: the repository, a temporary folder, the record.
 */
final class RestoreCase {

  private static final double CONTACT_SECONDS = 3;
  private static final double APPLY_SECONDS = 2;

  /** Time from the return of the store until the operator has written its config again. */
  private static final double REWRITE_SECONDS = 7;

  private static final String PATH = "/leny1/";

  private RestoreCase() {}

  private record Sent(String requestId, String key, double at, Machine machine, int status) {}

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
        String service = i < 2 ? Config.SERVICE : Config.OTHER_SERVICE;
        String zone = i % 2 == 0 ? "khomas-a" : "khomas-b";
        servers.add(
            new Server(machines.get(i % 2).ip(), "i-" + i, service, zone, 5, 20, record));
      }
      servers.forEach(server -> server.announce(store, "ready"));
      store.put("op", "config", before());
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

  private static Object before() {
    return new Config(5)
        .route("r-1", PATH, "safe", 1)
        .tenant("cuka1", List.of("key-kept", "key-taken"), 0, 0)
        .document();
  }

  private static Object after() {
    return new Config(9)
        .route("r-1", PATH, "safe", 1, Config.OTHER_SERVICE)
        .tenant("cuka1", List.of("key-kept"), 0, 0)
        .document();
  }

  private static int play(
      Store store, List<Server> servers, List<Machine> machines, Record record, boolean trouble)
      throws InterruptedException {
    List<Sent> sent = new ArrayList<>();
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> threads = new ArrayList<>();
    for (Machine machine : machines) {
      for (String key : List.of("key-kept", "key-taken")) {
        threads.add(
            Threads.start(
                () -> {
                  try (Requester requester = new Requester(machine.front(), record)) {
                    for (int i = 0; !stop.get(); i++) {
                      double at = record.seconds();
                      Requester.Result result = requester.get(PATH + i, key, 3000);
                      synchronized (sent) {
                        sent.add(
                            new Sent(result.requestId(), key, at, machine, result.status()));
                      }
                      Threads.sleep(100);
                    }
                  }
                }));
      }
    }
    Threads.sleep(3000);
    store.takeCopy();
    record.say("%.1f s: a copy of the store is taken", record.seconds());
    Threads.sleep(1000);
    store.put("op", "config", after());
    double acked = record.seconds();
    record.say("%.1f s: the store has acknowledged the config", acked);
    Threads.sleep(4000);
    double awaySince = record.seconds();
    double back = awaySince;
    if (trouble) {
      store.goAway();
      Threads.sleep(1000);
      store.comeBack();
      back = record.seconds();
      record.say("%.1f s: the store is back from the copy", back);
      Threads.sleep(500);
      servers.forEach(server -> server.announce(store, "ready"));
      Threads.sleep((long) (1000 * REWRITE_SECONDS) - 500);
      store.put("op", "config", after());
      record.say("%.1f s: the operator has written the config again", record.seconds());
    }
    Threads.sleep(4000);
    stop.set(true);
    for (Thread thread : threads) {
      thread.join(5000);
    }
    return judge(servers, sent, acked, awaySince, trouble ? back : awaySince, record);
  }

  private static int judge(
      List<Server> servers,
      List<Sent> sent,
      double acked,
      double awaySince,
      double back,
      Record record) {
    int served = 0;
    int oldService = 0;
    int takenKey = 0;
    for (Sent request : sent) {
      served += request.status() == 200 ? 1 : 0;
      boolean inTouch = request.at() < awaySince || request.at() > back + CONTACT_SECONDS;
      if (request.at() < acked + APPLY_SECONDS || !inTouch) {
        continue;
      }
      boolean ranOld = servers.get(0).run.contains(request.requestId());
      ranOld |= servers.get(1).run.contains(request.requestId());
      boolean ranNew = servers.get(2).run.contains(request.requestId());
      ranNew |= servers.get(3).run.contains(request.requestId());
      boolean withTakenKey = request.key().equals("key-taken") && (ranOld || ranNew);
      oldService += ranOld ? 1 : 0;
      takenKey += withTakenKey ? 1 : 0;
      if (ranOld || withTakenKey) {
        record.line(
            "%s, sent at %.3f to %s with %s, is handled as only the older version allows",
            request.requestId(), request.at(), request.machine().name(), request.key());
      }
    }
    record.say(
        "%d requests, %d served; sent over %.0f s after the ack to machines in touch: %d run by the"
            + " old service, %d run with the key that was taken away",
        sent.size(), served, APPLY_SECONDS, oldService, takenKey);
    if (served == 0) {
      record.say("nothing was served");
      return 2;
    }
    boolean broken = oldService + takenKey > 0;
    record.say(broken ? "CONFIG is broken" : "CONFIG is kept");
    return broken ? 1 : 0;
  }
}
