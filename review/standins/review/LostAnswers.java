package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/**
 * Answers of the store are lost for some seconds while servers are replaced. The entry VMs go on
 * waiting on the connections that deliver nothing further, and miss that a server leaves later.
 */
public final class LostAnswers {

  private static final double LOST_FROM_S = 8;
  private static final double LOST_FOR_S = 4.5;
  private static final double LOST_SHARE = 0.35;
  private static final double CONTACT_S = 3;
  private static final double DRAIN_S = 2;
  private static final double LEAVES_AT_S = LOST_FROM_S + LOST_FOR_S + CONTACT_S + 1.5;
  private static final double END_S = LEAVES_AT_S + 8;
  private static final int CALLERS = 4;
  private static final int REPLACED = 4;

  private LostAnswers() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] arguments) throws Exception {
    System.exit(Cases.run(Path.of(arguments[0]), LostAnswers::run, "khomas-a", "erongo-a"));
  }

  private static boolean run(Deployment deployment, boolean trouble) throws Exception {
    Record record = deployment.record;
    StoreStandIn store = deployment.store;
    store.put("op", "config", Config.plain(1));
    ServerStandIn leaving = server(record, "i-leaving", "khomas-a");
    store.put("servers", leaving.id(), leaving.entry("ready"));
    for (String zone : List.of("khomas-a", "erongo-a")) {
      ServerStandIn server = server(record, "i-stays-" + zone, zone);
      store.put("servers", server.id(), server.entry("ready"));
    }
    ServerStandIn[] replaced = new ServerStandIn[REPLACED];
    for (int i = 0; i < REPLACED; i++) {
      replaced[i] = server(record, "i-old-" + i, i % 2 == 0 ? "khomas-a" : "erongo-a");
      store.put("servers", replaced[i].id(), replaced[i].entry("ready"));
    }
    deployment.startVms();
    for (EntryVm vm : deployment.vms) {
      for (int i = 0; i < CALLERS; i++) {
        int number = i;
        Threads.start("caller", () -> call(deployment, vm, number));
      }
    }

    deployment.waitUntil(LOST_FROM_S);
    if (trouble) {
      record.line("the store loses answers for %.1f s", LOST_FOR_S);
      Random random = new Random();
      deployment.gates.forEach(
          gate -> gate.loseAnswers(target -> random.nextDouble() < LOST_SHARE));
    }
    Threads.start("release", () -> release(deployment, replaced));
    deployment.waitUntil(LOST_FROM_S + LOST_FOR_S);
    record.line("the store loses no answers");
    deployment.gates.forEach(gate -> gate.loseAnswers(target -> false));

    deployment.waitUntil(LEAVES_AT_S);
    store.put("servers", leaving.id(), leaving.entry("draining"));
    double leftAt = record.now();
    deployment.waitUntil(END_S);

    long before = leaving.runs().stream().filter(run -> run.atSeconds() < leftAt).count();
    List<ServerStandIn.Run> late =
        leaving.runs().stream().filter(run -> run.atSeconds() > leftAt + DRAIN_S).toList();
    record.result(
        "%s ran %d requests before it reported draining at %.3f and %d after %.3f, the last at %.3f",
        leaving.id(),
        before,
        leftAt,
        late.size(),
        leftAt + DRAIN_S,
        late.isEmpty() ? 0.0 : late.get(late.size() - 1).atSeconds());
    if (before == 0) {
      throw new IllegalStateException("the server got no request before it left");
    }
    return late.isEmpty();
  }

  private static ServerStandIn server(Record record, String id, String zone) throws Exception {
    return new ServerStandIn(record, id, "catalogue", zone, 5, 20);
  }

  /** Replaces servers one after the other; the new one starts first, the old one drains. */
  private static void release(Deployment deployment, ServerStandIn[] replaced)
      throws java.io.IOException {
    StoreStandIn store = deployment.store;
    for (int i = 0; i < replaced.length; i++) {
      ServerStandIn fresh =
          new ServerStandIn(
              deployment.record,
              "i-new-" + i,
              "catalogue",
              i % 2 == 0 ? "khomas-a" : "erongo-a",
              5,
              20);
      store.put("servers", fresh.id(), fresh.entry("ready"));
      Threads.pause(500);
      ServerStandIn old = replaced[i];
      store.put("servers", old.id(), old.entry("draining"));
      Threads.start(
          "drain",
          () -> {
            Threads.pause(2200);
            store.remove("servers", old.id());
          });
      Threads.pause(500);
    }
  }

  private static void call(Deployment deployment, EntryVm vm, int number) {
    Caller caller = new Caller(deployment.record, vm.callers());
    for (int i = 0; deployment.record.now() < END_S; i++) {
      String target = "/catalogue/" + (number * 1000 + i % 50);
      caller.send("GET", target, Config.KEY, 2000, new byte[0]);
      Threads.pause(50);
    }
  }
}
