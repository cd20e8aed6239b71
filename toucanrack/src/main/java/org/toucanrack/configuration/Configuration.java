package org.toucanrack.configuration;

import java.util.List;

/**
 * One accepted version of the configuration: the deployment and the granted keys. Immutable and
 * thread-safe.
 *
 * @param version the number of this version, starting at 1
 * @param deployment the declared deployment
 * @param keys the granted keys
 */
public record Configuration(long version, Deployment deployment, List<Key> keys) {

  /** Copies the keys and rejects version numbers below 1. */
  public Configuration {
    keys = List.copyOf(keys);
    if (version < 1) {
      throw new IllegalArgumentException("configuration version must be at least 1");
    }
  }
}
