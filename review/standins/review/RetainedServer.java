package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server leaves without reporting that it drains, shortly after a VM that was cut off from the
 * store has reached it again. The VM takes the removal for an entry that expired during an outage
 * of the store, and keeps the server for longer than drain_s.
 */
public final class RetainedServer {

  private static final double CUT_AT_S = 8;
  private static final double CUT_S = 5.5;
  private static final double CONTACT_S = 3;
  private static final double DRAIN_S = 2;

  /** The server leaves this long after the VM has reached the store again. */
  private static final double LEAVES_AFTER_S = 1.6;

  private static final double END_S = CUT_AT_S + CUT_S + 10;
  private static final int CALLERS = 10;

  private RetainedServer() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Cases.run(Path.of(arguments[0]), RetainedServer::run, "khomas-a", "erongo-a"));
  }

  private static boolean run(Deployment deployment, boolean trouble) throws Exception {
    Record record = deployment.record;
    StoreStandIn store = deployment.store;
    store.put("op", "config", Config.plain(1));
    ServerStandIn leaving = new ServerStandIn(record, "i-leaving", "catalogue", "khomas-a", 5, 20);
    store.put("servers", leaving.id(), leaving.entry("ready"));
    for (String zone : List.of("khomas-a", "erongo-a")) {
      ServerStandIn server =
          new ServerStandIn(record, "i-stays-" + zone, "catalogue", zone, 5, 20);
      store.put("servers", server.id(), server.entry("ready"));
    }
    deployment.startVms();
    EntryVm vm = deployment.vms.get(0);
    StoreStandIn.Gate gate = deployment.gates.get(0);
    Set<String> sentToVm = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      Threads.start("caller", () -> call(deployment, vm, number, sentToVm));
    }

    deployment.waitUntil(CUT_AT_S);
    if (trouble) {
      gate.cut(true);
    }
    deployment.waitUntil(CUT_AT_S + CUT_S);
    double cutEndedAt = record.now();
    if (trouble) {
      gate.cut(false);
      while (gate.lastAnswerAt() < cutEndedAt && record.now() < cutEndedAt + CONTACT_S) {
        Threads.pause(10);
      }
    }
    double reachedAt = record.now();
    record.line("%s reaches the store", vm.name());
    deployment.waitUntil(Math.max(reachedAt + LEAVES_AFTER_S, cutEndedAt + CONTACT_S - DRAIN_S));
    store.remove("servers", leaving.id());
    double leftAt = record.now();
    deployment.waitUntil(END_S);

    double boundFrom = Math.max(leftAt + DRAIN_S, cutEndedAt + CONTACT_S);
    List<ServerStandIn.Run> late =
        leaving.runs().stream()
            .filter(run -> run.atSeconds() > boundFrom && sentToVm.contains(run.requestId()))
            .toList();
    long before = leaving.runs().stream().filter(run -> run.atSeconds() < leftAt).count();
    record.result(
        "%s ran %d requests before it left at %.3f and %d of %s after %.3f, the last at %.3f",
        leaving.id(),
        before,
        leftAt,
        late.size(),
        vm.name(),
        boundFrom,
        late.isEmpty() ? 0.0 : late.get(late.size() - 1).atSeconds());
    if (before == 0) {
      throw new IllegalStateException("the server got no request before it left");
    }
    return late.isEmpty();
  }

  private static void call(
      Deployment deployment, EntryVm vm, int number, Set<String> sentToVm) {
    Caller caller = new Caller(deployment.record, vm.callers());
    for (int i = 0; deployment.record.now() < END_S; i++) {
      String target = "/catalogue/" + (number * 1000 + i % 50);
      sentToVm.add(caller.send("GET", target, Config.KEY, 2000, new byte[0]).requestId());
      Threads.pause(20);
    }
  }
}
