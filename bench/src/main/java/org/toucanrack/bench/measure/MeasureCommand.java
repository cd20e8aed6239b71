package org.toucanrack.bench.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.Keys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.result.Phase;
import org.toucanrack.bench.result.Report;

/** {@code bench measure}: runs one scenario and writes its report. */
public final class MeasureCommand {

  private MeasureCommand() {}

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    Scenario scenario = Scenario.named(arguments.optional("scenario", "calm"));
    long seed = Long.parseLong(arguments.optional("seed", "1"));
    double seconds = Double.parseDouble(arguments.optional("seconds", "20"));
    double warmUp = Double.parseDouble(arguments.optional("warm-up-seconds", "8"));
    boolean baselineOnly = arguments.optional("baseline-only", "false").equals("true");
    List<Phase> phases = new ArrayList<>();
    try (LoadClient client = new LoadClient()) {
      TestBed bed = new TestBed(layout, client);
      Measurement measurement = new Measurement(scenario, bed, client, seed, seconds, warmUp);
      if (!baselineOnly) {
        Processes processes = Processes.read(Path.of(arguments.required("processes")));
        Map<String, String> keys = Keys.read(Path.of(arguments.required("keys")));
        List<String> entries = layout.entries().stream().map(Layout.Entry::callers).toList();
        phases.add(measurement.steered(new SteeredCaller(client, entries, keys), processes));
      }
      phases.add(measurement.baseline());
    }
    Map<String, Object> parameters = new LinkedHashMap<>();
    parameters.put("deployment", layout.deployment().name());
    parameters.put("scenario", scenario.commandName());
    parameters.put("seed", seed);
    parameters.put("seconds", seconds);
    String name = layout.deployment().name() + "-" + scenario.commandName() + "-" + seed;
    Path directory = Path.of(arguments.optional("out", "measure-results"));
    System.out.print(new Report(layout.deployment(), parameters, phases).write(directory, name));
    return 0;
  }
}
