package org.toucanrack.internal.command;

import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.internal.configuration.ConfigurationCodec;
import org.toucanrack.platform.Platform;

/** Prints the current configuration. */
final class GetCommand implements Command {

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String summary() {
    return "Prints the current configuration as JSON.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    try (Platform platform = invocation.openPlatform()) {
      Optional<Configuration> current = new VersionSequence(platform).current();
      if (current.isEmpty()) {
        invocation.out().println("No configuration was accepted yet. Run 'toucanrack apply'.");
        return ExitCode.FAILED;
      }
      invocation.out().println(ConfigurationCodec.encodeIndented(current.get()));
      return ExitCode.DONE;
    }
  }
}
