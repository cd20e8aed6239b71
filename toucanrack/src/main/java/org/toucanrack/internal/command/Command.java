package org.toucanrack.internal.command;

import java.util.List;

/** One subcommand of the program. Implementations are stateless. */
interface Command {

  /** Returns the name of the subcommand on the command line. */
  String name();

  /** Returns the positional arguments for the help text; empty if there are none. */
  default String arguments() {
    return "";
  }

  /** Returns one sentence for the help text. */
  String summary();

  /** Returns the flags, without those of {@link CommonFlags#ofEveryCommand}. */
  List<Flag> flags();

  /**
   * Runs the command. Failures are thrown as {@link org.toucanrack.ToucanrackException}, whose code
   * determines the exit code.
   */
  ExitCode run(Invocation invocation);
}
