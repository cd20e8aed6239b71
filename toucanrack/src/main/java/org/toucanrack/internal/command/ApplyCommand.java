package org.toucanrack.internal.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.internal.configuration.ConfigurationDirectory;
import org.toucanrack.internal.configuration.Publication;
import org.toucanrack.platform.Platform;

/** Publishes the declared configuration as the next version. */
final class ApplyCommand implements Command {

  private static final Flag BASED_ON =
      Flag.of("based-on", "N", "The version that must still be current; 0 for none.");

  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String summary() {
    return "Checks the declared configuration and publishes it as the next version.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(CommonFlags.FILE, BASED_ON, CommonFlags.OPERATOR, CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    String directory = settings.required(CommonFlags.FILE);
    Optional<Long> basedOn =
        settings.optional(BASED_ON).map(text -> settings.number(BASED_ON, 0, Long.MAX_VALUE));
    String operator = settings.required(CommonFlags.OPERATOR);
    settings.addresses(CommonFlags.PLATFORM);
    settings.throwIfFaulty();
    Deployment deployment = ConfigurationDirectory.read(Path.of(directory));
    try (Platform platform = invocation.openPlatform()) {
      VersionSequence sequence = new VersionSequence(platform);
      Optional<Configuration> current = sequence.current();
      List<Key> keys = current.map(Configuration::keys).orElse(List.of());
      long base = basedOn.orElse(current.map(Configuration::version).orElse(0L));
      long version =
          sequence.publish(
              new Publication(base, deployment, keys, sequence.newOperation(), operator));
      invocation.out().println("Accepted as version " + version + ".");
    }
    return ExitCode.DONE;
  }
}
