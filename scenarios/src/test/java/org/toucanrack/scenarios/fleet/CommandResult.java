package org.toucanrack.scenarios.fleet;

/**
 * How an operator's command ended.
 *
 * @param exitCode its exit code
 * @param output what it printed
 */
public record CommandResult(int exitCode, String output) {

  /** Fails unless the command ended with the exit code. */
  public CommandResult expectExit(int expected) {
    if (exitCode != expected) {
      throw new AssertionError("exit code " + exitCode + ", expected " + expected + ": " + output);
    }
    return this;
  }
}
