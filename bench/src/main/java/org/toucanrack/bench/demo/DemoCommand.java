package org.toucanrack.bench.demo;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.Keys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.OpenLoop;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;
import org.toucanrack.bench.load.Schedule;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.measure.TestBed;
import org.toucanrack.bench.result.BackendTruth;
import org.toucanrack.bench.result.Recorder;
import org.toucanrack.bench.result.Series;

/**
 * {@code bench demo}: sends reads and orders of all customers through the entry VMs and accounts
 * for each of them.
 */
public final class DemoCommand {

  private static final double DEMAND = 0.15;

  private DemoCommand() {}

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    double seconds = Double.parseDouble(arguments.optional("seconds", "15"));
    long seed = Long.parseLong(arguments.optional("seed", "1"));
    Map<String, String> keys = Keys.read(Path.of(arguments.required("keys")));
    List<String> entries = layout.entries().stream().map(Layout.Entry::callers).toList();
    Recorder recorder = new Recorder();
    BackendTruth truth;
    try (LoadClient client = new LoadClient()) {
      showLookUps(layout, client, entries.get(0));
      TestBed bed = new TestBed(layout, client);
      bed.resetBackends();
      List<PlannedRequest> schedule =
          new Schedule(layout, seed, "demo").make(seconds, Schedule.Demand.constant(DEMAND));
      System.out.println("demo: sending " + schedule.size() + " requests in " + seconds + " s");
      new OpenLoop(new SteeredCaller(client, entries, keys), recorder).run(schedule);
      truth = bed.truth();
    }
    return report(recorder, truth);
  }

  private static void showLookUps(Layout layout, LoadClient client, String entry) {
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

  private static int report(Recorder recorder, BackendTruth truth) {
    line("%-28s %7s %9s %8s %8s %9s", "route", "sent", "answered", "not run", "unknown", "p99 ms");
    recorder.byRoute().forEach(DemoCommand::row);
    recorder.rejections().forEach((kind, count) -> line("not answered: %s: %d", kind, count));
    Series all = recorder.all();
    long falseNotRun = truth.falseNotRun(recorder.notRunIds());
    long withoutRun = truth.answeredWithoutRun(recorder.answeredIds());
    line(
        "reported as not run but ran: %d, answered but never ran: %d, crossed answers: %d,"
            + " without outcome: %d, key seen by a backend server: %s,"
            + " backend servers without record: %s",
        falseNotRun,
        withoutRun,
        recorder.crossed(),
        recorder.unfinished(),
        truth.keySeen(),
        truth.unread());
    line(
        "demo: sent %d, answered %d, refused not run %d, unknown %d, run twice %d",
        all.sent() + recorder.unfinished(),
        answered(all),
        all.count(Outcome.REFUSED),
        all.count(Outcome.UNKNOWN),
        truth.duplicates());
    boolean accounted =
        falseNotRun == 0
            && withoutRun == 0
            && recorder.crossed() == 0
            && recorder.unfinished() == 0
            && truth.unread().isEmpty();
    return accounted && truth.duplicates() == 0 && all.sent() > 0 ? 0 : 1;
  }

  private static long answered(Series series) {
    return series.count(Outcome.ANSWERED) + series.count(Outcome.FAILED);
  }

  private static void row(String route, Series series) {
    line(
        "%-28s %7d %9d %8d %8d %9.1f",
        route,
        series.sent(),
        answered(series),
        series.count(Outcome.REFUSED),
        series.count(Outcome.UNKNOWN),
        series.millisAt(99));
  }

  private static void line(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }
}
