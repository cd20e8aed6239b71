package org.toucanrack.internal.command;

import org.toucanrack.ErrorCode;

/** Exit codes of the program. The numbers are stable. */
public enum ExitCode {
  DONE(0, "The command did what it was asked to do."),
  FAILED(1, "The command failed and changed nothing, or the platform did not answer."),
  WRONG_USAGE(2, "The command line, the settings or the declared files are wrong."),
  CONFLICT(3, "Another change came first; nothing was changed."),
  UNKNOWN_OUTCOME(4, "The change may or may not have been accepted."),
  NOT_IN_EFFECT(5, "The change was accepted, but is not in effect everywhere in time.");

  private final int number;
  private final String description;

  ExitCode(int number, String description) {
    this.number = number;
    this.description = description;
  }

  /** Returns the number that the process exits with. */
  public int number() {
    return number;
  }

  /** Returns what the code means, in one sentence for the help text. */
  public String description() {
    return description;
  }

  /** Returns the exit code of a command that failed with the error. */
  public static ExitCode of(ErrorCode code) {
    return switch (code) {
      case INVALID_NAME, INVALID_SETTINGS, INVALID_CONFIGURATION -> WRONG_USAGE;
      case CONFLICT -> CONFLICT;
      case OUTCOME_UNKNOWN -> UNKNOWN_OUTCOME;
      case NOT_IN_FORCE -> NOT_IN_EFFECT;
      default -> FAILED;
    };
  }
}
