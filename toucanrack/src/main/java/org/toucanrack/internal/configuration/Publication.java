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
 * @param deployment what is declared
 * @param keys granted keys
 * @param operation identifies the request, so that a lost answer can be resolved
 * @param writer who asks
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
