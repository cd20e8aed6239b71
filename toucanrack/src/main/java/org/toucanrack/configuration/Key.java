package org.toucanrack.configuration;

import org.toucanrack.id.CustomerId;

/**
 * A granted key. Only its hash is kept. Immutable and thread-safe.
 *
 * @param name what operators call it
 * @param customer whose key it is
 * @param sha256 the hash of the secret, 64 hexadecimal digits in lower case
 */
public record Key(String name, CustomerId customer, String sha256) {

  /** Rejects hashes of a wrong form. */
  public Key {
    if (!sha256.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("key " + name + " needs a SHA-256 hash in hexadecimal");
    }
  }
}
