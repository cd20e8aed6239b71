package org.toucanrack.internal.command;

import java.util.Optional;
import java.util.UUID;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.OperationId;
import org.toucanrack.internal.configuration.ConfigurationStore;
import org.toucanrack.internal.configuration.CurrentVersion;
import org.toucanrack.internal.configuration.Publication;
import org.toucanrack.internal.configuration.ReliableCommit;
import org.toucanrack.internal.configuration.VersionRecord;
import org.toucanrack.platform.Platform;

/** Blocking access to the version sequence, for commands. Thread-safe. */
final class VersionSequence {

  private final ConfigurationStore store;
  private final ReliableCommit commits;

  VersionSequence(Platform platform) {
    this.store = new ConfigurationStore(platform.tables(), platform.objects(), Pause::millis);
    this.commits = new ReliableCommit(platform.tables(), Pause::millis);
  }

  Optional<VersionRecord> currentRecord() {
    return commits
        .retry("read the current version", store::current)
        .orThrow()
        .map(CurrentVersion::record);
  }

  Optional<Configuration> current() {
    return currentRecord()
        .map(record -> commits.retry("read the body", () -> store.body(record)).orThrow());
  }

  /**
   * Returns the current configuration. Throws with {@code INVALID_CONFIGURATION} if none was
   * accepted yet.
   */
  Configuration requireCurrent() {
    return current()
        .orElseThrow(
            () ->
                new ToucanrackException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "No configuration was accepted yet. Run 'toucanrack apply' first."));
  }

  long publish(Publication publication) {
    return store.publish(publication);
  }

  static OperationId newOperationId() {
    return new OperationId(UUID.randomUUID().toString());
  }
}
