package org.toucanrack.bench;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The arguments of a subcommand of {@code bench}. Immutable. */
public final class Arguments {

  private static final List<String> OPTION_NAMES =
      List.of(
          "file",
          "scenario",
          "seed",
          "seconds",
          "warm-up-seconds",
          "baseline-only",
          "processes",
          "keys",
          "scale",
          "out");

  private final CommandLine commandLine;

  /** Parses the arguments behind the subcommand. */
  public Arguments(String[] arguments) throws ParseException {
    Options options = new Options();
    OPTION_NAMES.forEach(
        name -> options.addOption(Option.builder().longOpt(name).hasArg().build()));
    commandLine = new DefaultParser().parse(options, arguments);
  }

  /** Returns an argument that has to be given. */
  public String required(String name) {
    String value = commandLine.getOptionValue(name);
    if (value == null) {
      throw new IllegalArgumentException("--" + name + " is missing");
    }
    return value;
  }

  /** Returns an argument or its default. */
  public String optional(String name, String defaultValue) {
    return commandLine.getOptionValue(name, defaultValue);
  }
}
