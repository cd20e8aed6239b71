package org.toucanrack.internal.command;

import java.util.Optional;
import java.util.UUID;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.OperationId;
import org.toucanrack.internal.configuration.ConfigurationStore;
import org.toucanrack.internal.configuration.CurrentVersion;
import org.toucanrack.internal.configuration.Publication;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.StoreAnswer;

/** Blocking access to the configuration store, for commands. Thread-safe. */
final class VersionSequence {

  private final ConfigurationStore store;

  VersionSequence(Platform platform) {
    this.store =
        new ConfigurationStore(platform.tables(), platform.objects(), VersionSequence::pause);
  }

  Optional<Configuration> current() {
    StoreAnswer<Optional<CurrentVersion>> answer = store.current().toCompletableFuture().join();
    return answer
        .orThrow()
        .map(found -> store.body(found.record()).toCompletableFuture().join().orThrow());
  }

  long publish(Publication publication) {
    return store.publish(publication);
  }

  OperationId newOperation() {
    return new OperationId(UUID.randomUUID().toString());
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
