package org.toucanrack.bench;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command-line options of a {@code bench} subcommand, all of which take a value. Immutable. */
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

  /** Parses the arguments that follow the subcommand. */
  public Arguments(String[] arguments) throws ParseException {
    Options options = new Options();
    OPTION_NAMES.forEach(
        name -> options.addOption(Option.builder().longOpt(name).hasArg().build()));
    commandLine = new DefaultParser().parse(options, arguments);
  }

  /** Returns the value of a mandatory option; throws {@link IllegalArgumentException} if absent. */
  public String required(String name) {
    String value = commandLine.getOptionValue(name);
    if (value == null) {
      throw new IllegalArgumentException("--" + name + " is missing");
    }
    return value;
  }

  /** Returns the value of an option, or the default if the option is absent. */
  public String optional(String name, String defaultValue) {
    return commandLine.getOptionValue(name, defaultValue);
  }
}
