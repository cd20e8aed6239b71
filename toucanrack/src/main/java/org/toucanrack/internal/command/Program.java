package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.platform.Platform;

/**
 * The command-line program: selects the subcommand, runs it and maps exceptions to exit codes.
 * Immutable.
 *
 * <pre>{@code
 * new Program(System.getenv(), System.out, System.err, HttpPlatform::new).run(List.of("--help"));
 * }</pre>
 */
public final class Program {

  static final List<Command> COMMANDS =
      List.of(
          new ServeCommand(),
          new ApplyCommand(),
          new PlanCommand(),
          new GetCommand(),
          new StatusCommand(),
          new KeyCommand(),
          new DrainCommand(),
          new MoveCommand(),
          new ExplainCommand());

  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;
  private final Function<List<URI>, Platform> platformFactory;

  /** Creates a program; {@code platformFactory} opens a platform client for the addresses. */
  public Program(
      Map<String, String> environment,
      PrintStream out,
      PrintStream err,
      Function<List<URI>, Platform> platformFactory) {
    this.environment = Map.copyOf(environment);
    this.out = out;
    this.err = err;
    this.platformFactory = platformFactory;
  }

  /** Runs one subcommand. Never throws. */
  public ExitCode run(List<String> arguments) {
    try {
      return dispatch(arguments);
    } catch (ToucanrackException e) {
      err.println("toucanrack: " + e.code() + ": " + e.getMessage());
      return ExitCode.of(e.code());
    } catch (RuntimeException e) {
      err.println("toucanrack: " + ErrorCode.INTERNAL + ": " + e + ". Please report this bug.");
      return ExitCode.FAILED;
    }
  }

  private ExitCode dispatch(List<String> arguments) {
    String commandName = arguments.isEmpty() ? "" : arguments.get(0);
    if (commandName.equals("--help") || commandName.equals("-h") || commandName.equals("help")) {
      out.print(HelpText.ofProgram(COMMANDS));
      return ExitCode.DONE;
    }
    Optional<Command> command =
        COMMANDS.stream().filter(candidate -> candidate.name().equals(commandName)).findFirst();
    if (command.isEmpty()) {
      err.print(HelpText.unknownCommand(commandName, COMMANDS));
      return ExitCode.WRONG_USAGE;
    }
    return runCommand(command.get(), arguments.subList(1, arguments.size()));
  }

  private ExitCode runCommand(Command command, List<String> arguments) {
    if (arguments.contains("--help") || arguments.contains("-h")) {
      out.print(HelpText.ofCommand(command));
      return ExitCode.DONE;
    }
    Settings settings = Settings.parse(HelpText.allFlags(command), arguments, environment);
    Logging.configure(settings.oneOf(CommonFlags.LOG_FORMAT, "plain", "json").equals("json"));
    return command.run(new Invocation(settings, out, platformFactory));
  }
}
