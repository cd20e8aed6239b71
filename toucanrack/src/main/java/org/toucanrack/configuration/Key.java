package org.toucanrack.configuration;

import org.toucanrack.id.CustomerId;

/**
 * A granted API key. Only the hash of its secret is stored. Immutable and thread-safe.
 *
 * @param name the name that operators use for it
 * @param customer the customer it belongs to
 * @param sha256 the hash of the secret, 64 hexadecimal digits in lower case
 */
public record Key(String name, CustomerId customer, String sha256) {

  /** Rejects a hash that is not 64 hexadecimal digits in lower case. */
  public Key {
    if (!sha256.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("key " + name + " needs a SHA-256 hash in hexadecimal");
    }
  }
}
