package org.toucanrack.bench.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.toucanrack.bench.Arguments;

/** {@code bench capacity}: runs all scaling benchmarks and writes their figures. */
public final class CapacityCommand {

  private static final List<ScalingBenchmark> BENCHMARKS =
      List.of(
          new ClientBlocksBenchmark(),
          new LookUpBenchmark(),
          new ConfigurationBenchmark(),
          new DomainRowBenchmark(),
          new ControlCoreBenchmark(),
          new RestartBenchmark(),
          new MessageBenchmark(),
          new RateLimiterBenchmark(),
          new DispatcherBenchmark(),
          new TicketRegistryBenchmark());

  private CapacityCommand() {}

  /** Runs the command; returns the exit code. */
  public static int run(Arguments arguments) throws IOException {
    String name = arguments.optional("scale", "target");
    Scale scale = Scale.valueOf(name.toUpperCase(Locale.ROOT));
    FigureRecorder figures = new FigureRecorder(scale);
    BENCHMARKS.forEach(benchmark -> benchmark.measure(scale, figures));
    Path directory = Path.of(arguments.optional("out", "measure-results"));
    System.out.print(new CapacityReport(figures.all()).write(directory, "capacity-" + name));
    return 0;
  }
}
