package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.function.Function;
import org.toucanrack.platform.Platform;

/**
 * What a command works with. Immutable.
 *
 * @param settings the settings of this run
 * @param out where results go
 * @param platformFactory opens the platform at its addresses
 */
record Invocation(
    Settings settings, PrintStream out, Function<List<URI>, Platform> platformFactory) {

  /** Reports all faults of the settings, then opens the platform. */
  Platform openPlatform() {
    List<URI> addresses = settings.addresses(CommonFlags.PLATFORM);
    settings.throwIfFaulty();
    return platformFactory.apply(addresses);
  }
}
