package org.toucanrack.scenarios.fleet;

/**
 * The result of an operator's command.
 *
 * @param exitCode exit code of the process
 * @param output standard output and standard error
 */
public record CommandResult(int exitCode, String output) {

  /**
   * Returns this result if the command exited with the expected code.
   *
   * @throws AssertionError if the exit code differs
   */
  public CommandResult expectExit(int expected) {
    if (exitCode != expected) {
      throw new AssertionError(
          "expected exit code " + expected + ", got " + exitCode + ": " + output);
    }
    return this;
  }
}
