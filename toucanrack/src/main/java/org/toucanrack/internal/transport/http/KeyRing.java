package org.toucanrack.internal.transport.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.CustomerId;

/**
 * Finds customers by their secret among the granted keys of one configuration. Immutable and
 * thread-safe.
 */
final class KeyRing {

  private static final int HASH_PREFIX_DIGITS = 16;

  private final Map<String, Key> keysByHashPrefix = new HashMap<>();

  KeyRing(List<Key> keys) {
    keys.forEach(key -> keysByHashPrefix.put(key.sha256().substring(0, HASH_PREFIX_DIGITS), key));
  }

  /** Returns the customer of a secret; the whole hash is compared in constant time. */
  Optional<CustomerId> customerOf(String secret) {
    byte[] digest = sha256(secret);
    Key key =
        keysByHashPrefix.get(HexFormat.of().formatHex(digest).substring(0, HASH_PREFIX_DIGITS));
    return key != null && MessageDigest.isEqual(HexFormat.of().parseHex(key.sha256()), digest)
        ? Optional.of(key.customer())
        : Optional.empty();
  }

  private static byte[] sha256(String secret) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
