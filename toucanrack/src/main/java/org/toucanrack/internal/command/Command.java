package org.toucanrack.internal.command;

import java.util.List;

/** One subcommand of the program. Implementations are stateless. */
interface Command {

  /** Returns the word on the command line. */
  String name();

  /** Returns the arguments that are no flags, for the help text. */
  default String arguments() {
    return "";
  }

  /** Returns one sentence for the help text. */
  String summary();

  /** Returns the flags besides those that all commands have. */
  List<Flag> flags();

  /** Runs the command; failures are exceptions with codes. */
  ExitCode run(Invocation invocation);
}
