package org.toucanrack.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes the figures as JSON and as a table with a linear fit for each quantity. */
final class CapacityReport {

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final List<Figure> figures;

  CapacityReport(List<Figure> figures) {
    this.figures = figures;
  }

  /** Writes the JSON file and the table into a directory and returns the table. */
  String write(Path directory, String name) throws IOException {
    Files.createDirectories(directory);
    JSON.writeValue(directory.resolve(name + ".json").toFile(), figures);
    String table = formatTable();
    Files.writeString(directory.resolve(name + ".txt"), table);
    return table;
  }

  private String formatTable() {
    Map<String, List<Figure>> figuresBySeries = new LinkedHashMap<>();
    figures.forEach(
        figure ->
            figuresBySeries
                .computeIfAbsent(figure.seriesName(), key -> new ArrayList<>())
                .add(figure));
    StringBuilder table = new StringBuilder();
    figuresBySeries.forEach(
        (seriesName, points) -> {
          table.append(seriesName).append('\n');
          points.forEach(point -> appendPoint(table, point));
          LinearFit.of(points)
              .ifPresent(linearFit -> table.append("    fit ").append(linearFit).append('\n'));
        });
    return table.toString();
  }

  private static void appendPoint(StringBuilder table, Figure point) {
    table.append(
        String.format(
            Locale.ROOT,
            "  %,10d  %,18.3f  spread %.0f%%%n",
            point.size(),
            point.value(),
            point.spreadPercent()));
  }
}
