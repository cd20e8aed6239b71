package org.toucanrack;

/** The main class of the {@code toucanrack} program. */
public final class Toucanrack {

  private Toucanrack() {}

  /** Runs one subcommand. */
  public static void main(String[] arguments) {
    System.err.println("toucanrack: no subcommand yet");
    System.exit(2);
  }
}
