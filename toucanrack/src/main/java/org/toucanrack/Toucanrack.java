package org.toucanrack;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.toucanrack.internal.command.Program;
import org.toucanrack.internal.transport.platform.HttpPlatform;
import org.toucanrack.platform.Platform;

/** The main class of the {@code toucanrack} program. */
public final class Toucanrack {

  // Longer than the timeout of a VM, so that commands succeed while the platform is slow.
  private static final Duration COMMAND_CALL_TIMEOUT = Duration.ofSeconds(5);

  private Toucanrack() {}

  /** Runs one subcommand and exits with its exit code. */
  public static void main(String[] arguments) {
    Program program =
        new Program(System.getenv(), System.out, System.err, Toucanrack::openPlatform);
    System.exit(program.run(List.of(arguments)).number());
  }

  private static Platform openPlatform(List<URI> addresses) {
    return new HttpPlatform(addresses, COMMAND_CALL_TIMEOUT);
  }
}
