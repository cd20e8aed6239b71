package org.toucanrack.bench.result;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.configuration.Deployment;

/** Writes the result of a scenario as JSON, as a table and as a chart. */
public final class Report {

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  private static final double PERCENT = 100;

  private final Deployment deployment;
  private final Map<String, Object> parameters;
  private final List<RunResult> runs;

  /** Creates a report; the parameters describe how the scenario was run. */
  public Report(Deployment deployment, Map<String, Object> parameters, List<RunResult> runs) {
    this.deployment = deployment;
    this.parameters = parameters;
    this.runs = runs;
  }

  /** Writes the JSON file, table and chart into a directory and returns the table. */
  public String write(Path directory, String name) throws IOException {
    Files.createDirectories(directory);
    Map<String, Object> result = new LinkedHashMap<>(parameters);
    for (RunResult run : runs) {
      result.put(run.name(), run.describe(deployment));
    }
    JSON.writeValue(directory.resolve(name + ".json").toFile(), result);
    String table = formatTable();
    Files.writeString(directory.resolve(name + ".txt"), table);
    writeChart(directory.resolve(name + ".png"));
    return table;
  }

  private String formatTable() {
    StringBuilder table = new StringBuilder();
    parameters.forEach((key, value) -> table.append(key).append('=').append(value).append(' '));
    table.append('\n');
    for (RunResult run : runs) {
      appendRun(table, run);
    }
    return table.toString();
  }

  private void appendRun(StringBuilder table, RunResult run) {
    Recorder recorder = run.recorder();
    RequestStatistics all = recorder.all();
    double refusedPercent =
        all.withinRate() == 0 ? 0 : PERCENT * recorder.refusedWithinRate() / all.withinRate();
    appendLine(table, "%n%s", run.name());
    appendLine(
        table,
        "  sent %d, refused within rate %.3f%%, worst-served share %.3f, drain %s",
        all.sent(),
        refusedPercent,
        recorder.worstServedShare(),
        run.drainMillis() < 0 ? "not measured" : run.drainMillis() + " ms");
    appendLine(
        table,
        "  duplicates %d, false not-run %d, crossed %d, rate excess %d, shed %d, key seen %s,"
            + " unfinished %d",
        run.backendRecords().duplicates(),
        run.backendRecords().falseNotRun(recorder.notRunIds()),
        recorder.crossedAnswers(),
        run.rateExcess(deployment),
        run.backendRecords().shed(),
        run.backendRecords().keySeen(),
        recorder.unfinished());
    appendLine(
        table,
        "  %-28s %7s %8s %7s %7s %7s %7s %9s %9s %9s",
        "route or customer",
        "sent",
        "answered",
        "failed",
        "refused",
        "in rate",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p99.9 ms");
    recorder.byRoute().forEach((route, statistics) -> appendRow(table, route, statistics, "-"));
    recorder
        .byCustomer()
        .forEach(
            (customer, statistics) ->
                appendRow(
                    table, customer, statistics, Long.toString(statistics.refusedWithinRate())));
    recorder
        .notAnswered()
        .forEach((kind, count) -> appendLine(table, "  not answered: %s: %d", kind, count));
  }

  private static void appendRow(
      StringBuilder table, String name, RequestStatistics statistics, String inRate) {
    appendLine(
        table,
        "  %-28s %7d %8d %7d %7d %7s %7d %9.1f %9.1f %9.1f",
        name,
        statistics.sent(),
        statistics.count(Outcome.ANSWERED),
        statistics.count(Outcome.FAILED),
        statistics.count(Outcome.REFUSED),
        inRate,
        statistics.count(Outcome.UNKNOWN),
        statistics.latencyMillisAt(50),
        statistics.latencyMillisAt(99),
        statistics.latencyMillisAt(99.9));
  }

  private static void appendLine(StringBuilder table, String format, Object... values) {
    table.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private void writeChart(Path file) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(1000)
            .height(500)
            .title("p99 latency, " + parameters.get("scenario"))
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setXAxisLabelRotation(30);
    List<String> routes =
        runs.stream()
            .flatMap(run -> run.recorder().byRoute().keySet().stream())
            .distinct()
            .sorted()
            .toList();
    for (RunResult run : runs) {
      List<Double> values =
          routes.stream()
              .map(route -> run.recorder().byRoute().getOrDefault(route, new RequestStatistics()))
              .map(statistics -> statistics.latencyMillisAt(99))
              .toList();
      chart.addSeries(run.name(), routes, values);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
