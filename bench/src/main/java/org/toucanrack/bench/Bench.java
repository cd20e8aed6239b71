package org.toucanrack.bench;

import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.toucanrack.ToucanrackException;
import org.toucanrack.bench.capacity.CapacityCommand;
import org.toucanrack.bench.demo.DemoCommand;
import org.toucanrack.bench.latency.LatencyCommand;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.measure.MeasureCommand;

/** Entry point of the load generation and measurement tool. */
public final class Bench {

  private static final String USAGE = "usage: bench layout|demo|measure|latency|capacity OPTIONS";
  private static final int WRONG_USAGE = 2;

  private Bench() {}

  /** Runs the given subcommand and exits with its exit code. */
  public static void main(String[] arguments) throws Exception {
    System.setProperty("logback.configurationFile", "standin-logback.xml");
    System.setProperty("java.awt.headless", "true");
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) throws Exception {
    try {
      if (arguments.length == 0) {
        throw new ParseException(USAGE);
      }
      Arguments rest = new Arguments(Arrays.copyOfRange(arguments, 1, arguments.length));
      return switch (arguments[0]) {
        case "layout" -> printLayout(rest);
        case "demo" -> DemoCommand.run(rest);
        case "measure" -> MeasureCommand.run(rest);
        case "latency" -> LatencyCommand.run(rest);
        case "capacity" -> CapacityCommand.run(rest);
        default -> throw new ParseException(USAGE);
      };
    } catch (ParseException | IllegalArgumentException | ToucanrackException e) {
      System.err.println("bench: " + e.getMessage());
      return WRONG_USAGE;
    }
  }

  private static int printLayout(Arguments arguments) {
    System.out.print(Layout.read(Path.of(arguments.required("file"))).describe());
    return 0;
  }
}
