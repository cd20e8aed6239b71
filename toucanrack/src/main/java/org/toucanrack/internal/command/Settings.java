package org.toucanrack.internal.command;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/**
 * The settings of one run. A flag takes precedence over its environment variable, and that over the
 * default. Not thread-safe.
 *
 * <p>Faults are collected while settings are read and reported together by {@link #throwIfFaulty}.
 */
final class Settings {

  private final CommandLine commandLine;
  private final Map<String, String> environment;
  private boolean actionExpected;
  private final Set<String> faults = new LinkedHashSet<>();

  private Settings(List<Flag> flags, List<String> arguments, Map<String, String> environment) {
    this.environment = environment;
    this.commandLine = parseAll(options(flags), arguments);
    for (Flag flag : flags) {
      String[] values = commandLine.getOptionValues(flag.name());
      if (values != null && values.length > 1) {
        addFault(flag + " is given " + values.length + " times. Give it once.");
      }
    }
  }

  static Settings parse(List<Flag> flags, List<String> arguments, Map<String, String> environment) {
    return new Settings(flags, arguments, environment);
  }

  boolean isOn(Flag toggle) {
    if (commandLine.hasOption(toggle.name())) {
      return true;
    }
    String value = environment.get(toggle.variable());
    if (value == null || value.equals("false")) {
      return false;
    }
    if (!value.equals("true")) {
      addFault("%s is '%s'. Write true or false.".formatted(toggle.variable(), value));
    }
    return true;
  }

  Optional<String> optional(Flag flag) {
    return Optional.ofNullable(commandLine.getOptionValue(flag.name()))
        .or(() -> Optional.ofNullable(environment.get(flag.variable())))
        .filter(value -> !value.isBlank())
        .or(flag::defaultValue);
  }

  /** Returns a value; if it is missing, reports that and returns an empty string. */
  String required(Flag flag) {
    Optional<String> value = optional(flag);
    if (value.isEmpty()) {
      addFault("%s is missing. Give it, or set %s.".formatted(flag, flag.variable()));
    }
    return value.orElse("");
  }

  /** Returns whether the flag is on the command line, regardless of the environment. */
  boolean isOnCommandLine(Flag flag) {
    return commandLine.hasOption(flag.name());
  }

  String operator() {
    return optional(CommonFlags.OPERATOR).orElse(System.getProperty("user.name", "unknown"));
  }

  /** Returns a parsed value. Empty if it is missing or invalid, which is reported. */
  <T> Optional<T> parsed(Flag flag, Function<String, T> parser) {
    String text = required(flag);
    if (text.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(parser.apply(text));
    } catch (ToucanrackException e) {
      addFault(flag + ": " + e.getMessage());
      return Optional.empty();
    }
  }

  /** Returns the only positional argument; reports a fault if it is not one of the choices. */
  String action(String... choices) {
    actionExpected = true;
    List<String> actions = commandLine.getArgList();
    String action = actions.size() == 1 ? actions.get(0) : "";
    if (!Arrays.asList(choices).contains(action)) {
      addFault("Write one of these words, once: " + String.join(", ", choices) + ".");
    }
    return action;
  }

  String oneOf(Flag flag, String... choices) {
    String value = required(flag);
    if (!value.isEmpty() && !Arrays.asList(choices).contains(value)) {
      addFault("%s is '%s'. Write one of: %s.".formatted(flag, value, String.join(", ", choices)));
    }
    return value;
  }

  /** Returns an integer; reports a fault and returns {@code min} if it is missing or invalid. */
  long number(Flag flag, long min, long max) {
    String value = required(flag);
    if (value.isEmpty()) {
      return min;
    }
    try {
      long number = Long.parseLong(value);
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    addFault("%s is '%s'. Write a whole number from %d to %d.".formatted(flag, value, min, max));
    return min;
  }

  /** Returns the items of a comma-separated list. */
  List<String> list(Flag flag) {
    return optional(flag).stream()
        .flatMap(value -> Arrays.stream(value.split(",")))
        .map(String::strip)
        .filter(item -> !item.isEmpty())
        .toList();
  }

  /** Returns the addresses of a comma-separated list; reports a fault if there is none. */
  List<URI> addresses(Flag flag) {
    required(flag);
    List<URI> addresses = new ArrayList<>();
    for (String item : list(flag)) {
      httpAddress(item)
          .ifPresentOrElse(
              addresses::add,
              () ->
                  addFault(
                      "%s has '%s'. Write http://HOST:PORT, separated by commas."
                          .formatted(flag, item)));
    }
    return addresses;
  }

  /** Returns a number greater than 0 and at most 1; reports a fault and returns 1 otherwise. */
  double fraction(Flag flag) {
    String value = required(flag);
    try {
      double fraction = Double.parseDouble(value);
      if (fraction > 0 && fraction <= 1) {
        return fraction;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    addFault("%s is '%s'. Write a number above 0 and up to 1.".formatted(flag, value));
    return 1;
  }

  void addFault(String message) {
    faults.add(message);
  }

  /** Throws with all faults if there is any. */
  void throwIfFaulty() {
    if (!actionExpected && !commandLine.getArgList().isEmpty()) {
      addFault(
          "'%s' is not a flag. Flags start with '--'.".formatted(commandLine.getArgList().get(0)));
    }
    if (!faults.isEmpty()) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS, "The settings are wrong:\n  " + String.join("\n  ", faults));
    }
  }

  private static Optional<URI> httpAddress(String text) {
    try {
      URI uri = new URI(text);
      boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      boolean hasOnlyPath = uri.getQuery() == null && uri.getFragment() == null;
      return isHttp && hasOnlyPath && uri.getHost() != null ? Optional.of(uri) : Optional.empty();
    } catch (URISyntaxException e) {
      return Optional.empty();
    }
  }

  static Options options(List<Flag> flags) {
    Options options = new Options();
    for (Flag flag : flags) {
      options.addOption(
          Option.builder(flag.shortName().orElse(null))
              .longOpt(flag.name())
              .hasArg(flag.argument().isPresent())
              .argName(flag.argument().orElse(null))
              .desc(flag.description())
              .get());
    }
    return options;
  }

  /**
   * Commons CLI stops at the first fault, so the faulty flag is removed and the rest parsed again.
   */
  private CommandLine parseAll(Options options, List<String> arguments) {
    List<String> remaining = new ArrayList<>(arguments);
    while (true) {
      try {
        return DefaultParser.builder()
            .setAllowPartialMatching(false)
            .get()
            .parse(options, remaining.toArray(String[]::new));
      } catch (UnrecognizedOptionException e) {
        addFault("There is no flag " + e.getOption() + ". See --help.");
        remaining.remove(e.getOption());
      } catch (MissingArgumentException e) {
        Option option = e.getOption();
        addFault(
            "--%s needs a value. Write --%s %s."
                .formatted(option.getLongOpt(), option.getLongOpt(), option.getArgName()));
        removeFlagWithoutValue(remaining, option);
      } catch (ParseException e) {
        throw new ToucanrackException(ErrorCode.INVALID_SETTINGS, e.getMessage(), e);
      }
    }
  }

  /** Removes the last occurrence that has no value, that is, at the end or before another flag. */
  private static void removeFlagWithoutValue(List<String> remaining, Option option) {
    for (int i = remaining.size() - 1; i >= 0; i--) {
      boolean matches =
          remaining.get(i).equals("--" + option.getLongOpt())
              || remaining.get(i).equals("-" + option.getOpt());
      if (matches && (i + 1 == remaining.size() || remaining.get(i + 1).startsWith("-"))) {
        remaining.remove(i);
        return;
      }
    }
    remaining.clear();
  }
}
