package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.internal.configuration.ConfigurationDirectory;
import org.toucanrack.internal.configuration.GrantedKeys;
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
    return List.of(
        CommonFlags.FILE,
        BASED_ON,
        AdoptionWait.WAIT,
        AdoptionWait.WAIT_SECONDS,
        CommonFlags.OPERATOR,
        CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    final String directory = settings.required(CommonFlags.FILE);
    Optional<Long> basedOn =
        settings.optional(BASED_ON).map(text -> settings.number(BASED_ON, 0, Long.MAX_VALUE));
    String operator = settings.operator();
    settings.addresses(CommonFlags.PLATFORM);
    AdoptionWait.checkFlags(settings);
    settings.throwIfFaulty();
    Deployment declared = ConfigurationDirectory.read(Path.of(directory));
    try (Platform platform = invocation.openPlatform()) {
      long version = apply(platform, declared, basedOn, operator, invocation.out());
      AdoptionWait.await(settings, platform, version, invocation.out());
    }
    return ExitCode.DONE;
  }

  private static long apply(
      Platform platform,
      Deployment declared,
      Optional<Long> basedOn,
      String operator,
      PrintStream out) {
    VersionSequence sequence = new VersionSequence(platform);
    Optional<Configuration> current = sequence.current();
    GrantedKeys.checkCustomers(current, declared);
    long currentVersion = current.map(Configuration::version).orElse(0L);
    checkBase(basedOn, currentVersion);
    boolean unchanged = current.map(Configuration::deployment).equals(Optional.of(declared));
    if (unchanged) {
      out.println("Version " + currentVersion + " already declares this; nothing was published.");
      return currentVersion;
    }
    List<Key> keys = current.map(Configuration::keys).orElse(List.of());
    long version =
        sequence.publish(
            new Publication(
                currentVersion, declared, keys, VersionSequence.newOperationId(), operator));
    out.println("Accepted as version " + version + ".");
    return version;
  }

  /** The next version takes its keys from the version read here, so that one must be the base. */
  private static void checkBase(Optional<Long> basedOn, long currentVersion) {
    if (basedOn.isPresent() && basedOn.get() != currentVersion) {
      throw new ToucanrackException(
          ErrorCode.CONFLICT,
          "The change is based on version %d, but version %d is current."
                  .formatted(basedOn.get(), currentVersion)
              + " Run 'toucanrack plan' and try again.");
    }
  }
}
