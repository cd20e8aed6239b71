package review;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server leaves while one VM is cut off from the store and another one is restarted. The restarted
 * VM reads the store, which lacks the server, and then takes the server's old row from the VM that
 * is cut off.
 */
public final class StaleServer {

  private static final double CUT_AT_S = 12;
  private static final double CUT_S = 5.5;
  private static final double CONTACT_S = 3;
  private static final double DRAIN_S = 2;
  private static final double END_S = 22;
  private static final int CALLERS = 6;

  private StaleServer() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Cases.run(Path.of(arguments[0]), StaleServer::run, "khomas-a", "erongo-a"));
  }

  private static boolean run(Deployment deployment, boolean trouble) throws Exception {
    Record record = deployment.record;
    StoreStandIn store = deployment.store;
    store.put("op", "config", Config.plain(1));
    for (String zone : List.of("khomas-a", "erongo-a")) {
      for (int i = 1; i <= 2; i++) {
        ServerStandIn server =
            new ServerStandIn(record, "i-" + zone + "-" + i, "catalogue", zone, 5, 20);
        store.put("servers", server.id(), server.entry("ready"));
      }
    }
    deployment.startVms();
    deployment.waitUntil(6);
    ServerStandIn leaving =
        new ServerStandIn(record, "i-leaving", "catalogue", "khomas-a", 5, 20);
    store.put("servers", leaving.id(), leaving.entry("ready"));

    EntryVm restarted = deployment.vms.get(0);
    Set<String> sentToRestarted = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Threads.start("caller", () -> call(deployment, restarted, number, sentToRestarted));
    }

    deployment.waitUntil(CUT_AT_S);
    double startedAt = 0;
    if (trouble) {
      deployment.gates.get(1).cut(true);
      deployment.waitUntil(CUT_AT_S + 0.2);
      restarted.kill();
    }
    deployment.waitUntil(CUT_AT_S + 0.5);
    store.remove("servers", leaving.id());
    double leftAt = record.now();
    if (trouble) {
      deployment.waitUntil(CUT_AT_S + 1);
      startedAt = record.now();
      restarted.start();
      deployment.waitUntil(CUT_AT_S + CUT_S);
      deployment.gates.get(1).cut(false);
    }
    deployment.waitUntil(END_S);

    double boundFrom = Math.max(leftAt + DRAIN_S, startedAt + CONTACT_S);
    Set<String> ids = new HashSet<>(sentToRestarted);
    List<ServerStandIn.Run> late =
        leaving.runs().stream()
            .filter(run -> run.atSeconds() > boundFrom && ids.contains(run.requestId()))
            .toList();
    long before = leaving.runs().stream().filter(run -> run.atSeconds() < leftAt).count();
    record.result(
        "%s ran %d requests before it left at %.3f and %d of %s after %.3f, the last at %.3f",
        leaving.id(),
        before,
        leftAt,
        late.size(),
        restarted.name(),
        boundFrom,
        late.isEmpty() ? 0.0 : late.get(late.size() - 1).atSeconds());
    if (before == 0) {
      throw new IllegalStateException("the server got no request before it left");
    }
    return late.isEmpty();
  }

  private static void call(
      Deployment deployment, EntryVm vm, int number, Set<String> sentToRestarted) {
    Caller caller = new Caller(deployment.record, vm.callers());
    for (int i = 0; deployment.record.now() < END_S; i++) {
      String target = "/catalogue/" + (number * 1000 + i % 50);
      sentToRestarted.add(caller.send("GET", target, Config.KEY, 2000, new byte[0]).requestId());
      Threads.pause(50);
    }
  }
}
