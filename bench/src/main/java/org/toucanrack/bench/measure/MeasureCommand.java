package org.toucanrack.bench.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanrack.bench.Arguments;
import org.toucanrack.bench.layout.CustomerKeys;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.LoadClient;
import org.toucanrack.bench.load.SteeredCaller;
import org.toucanrack.bench.result.Report;
import org.toucanrack.bench.result.RunResult;

/** {@code bench measure}: runs one scenario and writes its report. */
public final class MeasureCommand {

  private MeasureCommand() {}

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws Exception {
    Layout layout = Layout.read(Path.of(arguments.required("file")));
    Scenario scenario = Scenario.fromCommandName(arguments.optional("scenario", "calm"));
    long seed = Long.parseLong(arguments.optional("seed", "1"));
    double seconds = Double.parseDouble(arguments.optional("seconds", "20"));
    double warmUpSeconds = Double.parseDouble(arguments.optional("warm-up-seconds", "8"));
    boolean baselineOnly = arguments.optional("baseline-only", "false").equals("true");
    List<RunResult> runs = new ArrayList<>();
    try (LoadClient client = new LoadClient()) {
      TestBed testBed = new TestBed(layout, client);
      Measurement measurement =
          new Measurement(scenario, testBed, client, seed, seconds, warmUpSeconds);
      if (!baselineOnly) {
        EntryVmProcesses processes =
            EntryVmProcesses.read(Path.of(arguments.required("processes")));
        Map<String, String> keys = CustomerKeys.read(Path.of(arguments.required("keys")));
        List<String> entryAddresses =
            layout.entryVms().stream().map(Layout.EntryVmSpec::callersAddress).toList();
        runs.add(
            measurement.measureToucanrack(
                new SteeredCaller(client, entryAddresses, keys), processes));
      }
      runs.add(measurement.measureBaseline());
    }
    Map<String, Object> parameters = new LinkedHashMap<>();
    parameters.put("deployment", layout.deployment().name());
    parameters.put("scenario", scenario.commandName());
    parameters.put("seed", seed);
    parameters.put("seconds", seconds);
    String name = layout.deployment().name() + "-" + scenario.commandName() + "-" + seed;
    Path directory = Path.of(arguments.optional("out", "measure-results"));
    System.out.print(new Report(layout.deployment(), parameters, runs).write(directory, name));
    return 0;
  }
}
