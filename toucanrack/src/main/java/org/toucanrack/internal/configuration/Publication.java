package org.toucanrack.internal.configuration;

import java.util.List;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.OperationId;

/**
 * A request to publish the next version. Immutable and thread-safe.
 *
 * @param basedOn the version that must still be current; 0 for none
 * @param deployment the declared deployment
 * @param keys granted keys
 * @param operation id of the request, which shows whether it took effect if its answer is lost
 * @param writer operator who publishes it
 */
public record Publication(
    long basedOn, Deployment deployment, List<Key> keys, OperationId operation, String writer) {

  /** Copies the keys. */
  public Publication {
    keys = List.copyOf(keys);
  }

  Configuration configuration() {
    return new Configuration(basedOn + 1, deployment, keys);
  }
}
