package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.function.Function;
import org.toucanrack.platform.Platform;

/**
 * The context of one run of a command. Not thread-safe, since the settings are not.
 *
 * @param settings the settings of this run
 * @param out output stream for results
 * @param platformFactory opens a platform client for the given addresses
 */
record Invocation(
    Settings settings, PrintStream out, Function<List<URI>, Platform> platformFactory) {

  /** Opens the platform, or throws with all faults of the settings. */
  Platform openPlatform() {
    List<URI> addresses = settings.addresses(CommonFlags.PLATFORM);
    settings.throwIfFaulty();
    return platformFactory.apply(addresses);
  }
}
