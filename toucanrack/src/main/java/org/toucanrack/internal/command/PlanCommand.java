package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.internal.configuration.ConfigurationDifference;
import org.toucanrack.internal.configuration.ConfigurationDirectory;
import org.toucanrack.internal.configuration.GrantedKeys;
import org.toucanrack.platform.Platform;

/** Prints what {@code apply} would change. */
final class PlanCommand implements Command {

  @Override
  public String name() {
    return "plan";
  }

  @Override
  public String summary() {
    return "Checks the declared configuration and prints what 'apply' would change.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(CommonFlags.FILE, CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    String directory = settings.required(CommonFlags.FILE);
    settings.addresses(CommonFlags.PLATFORM);
    settings.throwIfFaulty();
    Deployment declared = ConfigurationDirectory.read(Path.of(directory));
    try (Platform platform = invocation.openPlatform()) {
      Optional<Configuration> current = new VersionSequence(platform).current();
      GrantedKeys.checkCustomers(current, declared);
      print(current, declared, directory, invocation.out());
    }
    return ExitCode.DONE;
  }

  private static void print(
      Optional<Configuration> current, Deployment declared, String directory, PrintStream out) {
    long version = current.map(Configuration::version).orElse(0L);
    List<String> lines =
        ConfigurationDifference.between(current.map(Configuration::deployment), declared);
    if (lines.isEmpty()) {
      out.println("Version " + version + " already declares this; nothing would change.");
      return;
    }
    lines.forEach(out::println);
    String changes = lines.size() == 1 ? "1 change" : lines.size() + " changes";
    out.println(
        "%s to version %d. To apply exactly these: toucanrack apply -f %s --based-on %d"
            .formatted(changes, version, directory, version));
  }
}
