package org.toucanrack.bench.demo;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.CustomerKeys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.OpenLoop;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;
import org.toucanrack.bench.load.ScheduleGenerator;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.measure.TestBed;
import org.toucanrack.bench.result.BackendRecords;
import org.toucanrack.bench.result.Recorder;
import org.toucanrack.bench.result.RequestStatistics;

/**
 * {@code bench demo}: sends reads and orders of all customers through the entry VMs, then compares
 * the outcome of every request with the records of the backend servers.
 */
public final class DemoCommand {

  private static final double DEMAND_MULTIPLIER = 0.15;

  private DemoCommand() {}

  /** Runs the command; returns 0 if all requests are accounted for and none ran twice. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    double seconds = Double.parseDouble(arguments.optional("seconds", "15"));
    long seed = Long.parseLong(arguments.optional("seed", "1"));
    Map<String, String> keys = CustomerKeys.read(Path.of(arguments.required("keys")));
    List<String> entryAddresses =
        layout.entryVms().stream().map(Layout.EntryVmSpec::callersAddress).toList();
    Recorder recorder = new Recorder();
    BackendRecords backendRecords;
    try (LoadClient client = new LoadClient()) {
      printLookUps(layout, client, entryAddresses.get(0));
      TestBed testBed = new TestBed(layout, client);
      testBed.resetBackendServers();
      List<PlannedRequest> schedule =
          new ScheduleGenerator(layout, seed, "demo")
              .generate(seconds, ScheduleGenerator.Demand.constant(DEMAND_MULTIPLIER));
      System.out.println("demo: sending " + schedule.size() + " requests in " + seconds + " s");
      new OpenLoop(new SteeredCaller(client, entryAddresses, keys), recorder).run(schedule);
      backendRecords = testBed.backendRecords();
    }
    return printReport(recorder, backendRecords);
  }

  private static void printLookUps(Layout layout, LoadClient client, String entry) {
    layout
        .deployment()
        .services()
        .forEach(
            service -> {
              String target =
                  "/_toucanrack/lookup?service=" + service.id().value() + "&client=10.0.0.1";
              String answer = client.send("GET", entry, target, Map.of()).join().body();
              System.out.println("look-up " + service.id().value() + ": " + answer.strip());
            });
  }

  private static int printReport(Recorder recorder, BackendRecords backendRecords) {
    printLine(
        "%-28s %7s %9s %8s %8s %9s", "route", "sent", "answered", "not run", "unknown", "p99 ms");
    recorder.byRoute().forEach(DemoCommand::printRow);
    recorder.notAnswered().forEach((kind, count) -> printLine("not answered: %s: %d", kind, count));
    RequestStatistics all = recorder.all();
    long falseNotRun = backendRecords.falseNotRun(recorder.notRunIds());
    long answeredWithoutRun = backendRecords.answeredWithoutRun(recorder.answeredIds());
    printLine(
        "reported as not run but ran: %d, answered but never ran: %d, crossed answers: %d,"
            + " without outcome: %d, key seen by a backend server: %s,"
            + " backend servers without record: %s",
        falseNotRun,
        answeredWithoutRun,
        recorder.crossedAnswers(),
        recorder.unfinished(),
        backendRecords.keySeen(),
        backendRecords.unreadServers());
    printLine(
        "demo: sent %d, answered %d, refused not run %d, unknown %d, run twice %d",
        all.sent() + recorder.unfinished(),
        answered(all),
        all.count(Outcome.REFUSED),
        all.count(Outcome.UNKNOWN),
        backendRecords.duplicates());
    boolean accounted =
        falseNotRun == 0
            && answeredWithoutRun == 0
            && recorder.crossedAnswers() == 0
            && recorder.unfinished() == 0
            && backendRecords.unreadServers().isEmpty();
    return accounted && backendRecords.duplicates() == 0 && all.sent() > 0 ? 0 : 1;
  }

  private static long answered(RequestStatistics statistics) {
    return statistics.count(Outcome.ANSWERED) + statistics.count(Outcome.FAILED);
  }

  private static void printRow(String route, RequestStatistics statistics) {
    printLine(
        "%-28s %7d %9d %8d %8d %9.1f",
        route,
        statistics.sent(),
        answered(statistics),
        statistics.count(Outcome.REFUSED),
        statistics.count(Outcome.UNKNOWN),
        statistics.latencyMillisAt(99));
  }

  private static void printLine(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }
}
