package org.toucanrack.internal.command;

import java.util.ArrayList;
import java.util.List;

/** Formats help texts. Stateless and thread-safe. */
final class HelpText {

  private HelpText() {}

  static List<Flag> allFlags(Command command) {
    List<Flag> flags = new ArrayList<>(command.flags());
    flags.addAll(CommonFlags.ofEveryCommand());
    return flags;
  }

  static String ofProgram(List<Command> commands) {
    StringBuilder text = new StringBuilder("Usage: toucanrack COMMAND [FLAGS]\n\nCommands:\n");
    for (Command command : commands) {
      text.append("  %-8s %s%n".formatted(command.name(), command.summary()));
    }
    text.append("\nRun 'toucanrack COMMAND --help' for the flags of a command.\n\nExit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("  %d  %s%n".formatted(code.number(), code.description()));
    }
    return text.toString();
  }

  static String unknownCommand(String name, List<Command> commands) {
    String problem =
        name.isEmpty() ? "A command is missing." : "There is no command '" + name + "'.";
    List<String> names = commands.stream().map(Command::name).toList();
    return "toucanrack: INVALID_SETTINGS: %s Use one of: %s. See 'toucanrack --help'.%n"
        .formatted(problem, String.join(", ", names));
  }

  static String ofCommand(Command command) {
    String arguments = command.arguments().isEmpty() ? "" : " " + command.arguments();
    StringBuilder text =
        new StringBuilder(
            "Usage: toucanrack %s%s [FLAGS]%n%n%s%n%nFlags:%n"
                .formatted(command.name(), arguments, command.summary()));
    for (Flag flag : allFlags(command)) {
      text.append(describe(flag));
    }
    return text.toString();
  }

  private static String describe(Flag flag) {
    String shortName = flag.shortName().map(letter -> "-" + letter + ", ").orElse("");
    String argument = flag.argument().map(name -> " " + name).orElse("");
    String defaultValue = flag.defaultValue().map(" Default: %s"::formatted).orElse("");
    String variable =
        flag.equals(CommonFlags.HELP)
            ? ""
            : "      Environment variable: %s%n".formatted(flag.variable());
    return "  %s%s%s%n      %s%s%n%s"
        .formatted(shortName, flag, argument, flag.description(), defaultValue, variable);
  }
}
