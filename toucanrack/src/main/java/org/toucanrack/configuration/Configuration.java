package org.toucanrack.configuration;

import java.util.List;

/**
 * One accepted version of the configuration: the deployment and the granted keys. Immutable and
 * thread-safe.
 *
 * @param version place in the version line; 1 is the first
 * @param deployment what is declared
 * @param keys granted keys
 */
public record Configuration(long version, Deployment deployment, List<Key> keys) {

  /** Copies the keys. */
  public Configuration {
    keys = List.copyOf(keys);
    if (version < 1) {
      throw new IllegalArgumentException("configuration version must be at least 1");
    }
  }
}
