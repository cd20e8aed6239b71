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
  private final List<Phase> phases;

  /** Creates a report; parameters tell how the scenario was run. */
  public Report(Deployment deployment, Map<String, Object> parameters, List<Phase> phases) {
    this.deployment = deployment;
    this.parameters = parameters;
    this.phases = phases;
  }

  /** Writes all forms of the report into a directory and returns the table. */
  public String write(Path directory, String name) throws IOException {
    Files.createDirectories(directory);
    Map<String, Object> result = new LinkedHashMap<>(parameters);
    for (Phase phase : phases) {
      result.put(phase.name(), phase.describe(deployment));
    }
    JSON.writeValue(directory.resolve(name + ".json").toFile(), result);
    String table = table();
    Files.writeString(directory.resolve(name + ".txt"), table);
    chart(directory.resolve(name + ".png"));
    return table;
  }

  private String table() {
    StringBuilder table = new StringBuilder();
    parameters.forEach((key, value) -> table.append(key).append('=').append(value).append(' '));
    table.append('\n');
    for (Phase phase : phases) {
      appendPhase(table, phase);
    }
    return table.toString();
  }

  private void appendPhase(StringBuilder table, Phase phase) {
    Recorder recorder = phase.recorder();
    Series all = recorder.all();
    double refused =
        all.withinRate() == 0 ? 0 : PERCENT * recorder.refusedWithinRate() / all.withinRate();
    line(table, "%n%s", phase.name());
    line(
        table,
        "  sent %d, refused within rate %.3f%%, worst-served share %.3f, drain %s",
        all.sent(),
        refused,
        recorder.worstServedShare(),
        phase.drainMillis() < 0 ? "not measured" : phase.drainMillis() + " ms");
    line(
        table,
        "  duplicates %d, false not-run %d, crossed %d, rate excess %d, shed %d, key seen %s,"
            + " unfinished %d",
        phase.truth().duplicates(),
        phase.truth().falseNotRun(recorder.notRunIds()),
        recorder.crossed(),
        phase.rateExcess(deployment),
        phase.truth().shed(),
        phase.truth().keySeen(),
        recorder.unfinished());
    line(
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
    recorder.byRoute().forEach((route, series) -> row(table, route, series, "-"));
    recorder
        .byCustomer()
        .forEach(
            (customer, series) ->
                row(table, customer, series, Long.toString(series.refusedWithinRate())));
    recorder
        .rejections()
        .forEach((kind, count) -> line(table, "  not answered: %s: %d", kind, count));
  }

  private static void row(StringBuilder table, String name, Series series, String inRate) {
    line(
        table,
        "  %-28s %7d %8d %7d %7d %7s %7d %9.1f %9.1f %9.1f",
        name,
        series.sent(),
        series.count(Outcome.ANSWERED),
        series.count(Outcome.FAILED),
        series.count(Outcome.REFUSED),
        inRate,
        series.count(Outcome.UNKNOWN),
        series.millisAt(50),
        series.millisAt(99),
        series.millisAt(99.9));
  }

  private static void line(StringBuilder table, String format, Object... values) {
    table.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private void chart(Path file) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(1000)
            .height(500)
            .title("p99 latency, " + parameters.get("scenario"))
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setXAxisLabelRotation(30);
    List<String> routes =
        phases.stream()
            .flatMap(phase -> phase.recorder().byRoute().keySet().stream())
            .distinct()
            .sorted()
            .toList();
    for (Phase phase : phases) {
      List<Double> values =
          routes.stream()
              .map(route -> phase.recorder().byRoute().getOrDefault(route, new Series()))
              .map(series -> series.millisAt(99))
              .toList();
      chart.addSeries(phase.name(), routes, values);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
