package org.toucanrack.internal.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against a reference page that does not match the flags and exit codes of the code. */
class ReferencePageTest {

  private static final Path PAGE = Path.of("..", "docs", "reference", "settings-and-exit-codes.md");
  private static final Path EXPECTED = Path.of("target", "settings-and-exit-codes.md");

  @Test
  void listsExactlyTheFlagsAndExitCodesOfTheCode() throws IOException {
    Files.writeString(EXPECTED, page());

    String actual = Files.exists(PAGE) ? Files.readString(PAGE) : "";

    assertEquals(page(), actual, "copy toucanrack/" + EXPECTED + " to docs/reference");
  }

  private static String page() {
    StringBuilder page =
        new StringBuilder(
            "# Settings and exit codes\n\n"
                + "A flag takes precedence over its environment variable, and that over the"
                + " default.\nAll faults of the settings are reported in one message.\n\n"
                + "Secrets belong in environment variables: other users of a machine can read"
                + " its command lines.\n\n## Exit codes\n\n| Code | Name | Meaning |\n"
                + "| --- | --- | --- |\n");
    for (ExitCode code : ExitCode.values()) {
      page.append("| %d | `%s` | %s |\n".formatted(code.number(), code, code.description()));
    }
    for (Command command : Program.COMMANDS) {
      String arguments = command.arguments().isEmpty() ? "" : " " + command.arguments();
      page.append("\n## `toucanrack %s%s`\n\n".formatted(command.name(), arguments));
      page.append(command.summary()).append("\n\n");
      page.append("| Flag | Environment variable | Default | Meaning |\n");
      page.append("| --- | --- | --- | --- |\n");
      HelpText.allFlags(command).forEach(flag -> page.append(row(flag)));
    }
    return page.toString();
  }

  private static String row(Flag flag) {
    String shortName = flag.shortName().map(letter -> "`-" + letter + "`, ").orElse("");
    String argument = flag.argument().map(name -> " " + name.replace("|", "\\|")).orElse("");
    String variable = flag.equals(CommonFlags.HELP) ? "" : "`" + flag.variable() + "`";
    String defaultValue = flag.defaultValue().map(value -> "`" + value + "`").orElse("");
    return "| %s`%s%s` | %s | %s | %s |\n"
        .formatted(shortName, flag, argument, variable, defaultValue, flag.description());
  }
}
