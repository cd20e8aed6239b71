package org.toucanrack;

import java.util.List;
import org.toucanrack.internal.command.Program;
import org.toucanrack.internal.transport.platform.HttpPlatform;

/** The main class of the {@code toucanrack} program. */
public final class Toucanrack {

  private Toucanrack() {}

  /** Runs one subcommand and exits with its code. */
  public static void main(String[] arguments) {
    Program program = new Program(System.getenv(), System.out, System.err, HttpPlatform::new);
    System.exit(program.run(List.of(arguments)).number());
  }
}
