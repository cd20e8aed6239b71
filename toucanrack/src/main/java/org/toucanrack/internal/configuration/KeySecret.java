package org.toucanrack.internal.configuration;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;

/**
 * The secret that a customer sends as its key. It is shown once and never stored. Immutable and
 * thread-safe.
 *
 * @param text what the customer sends
 */
public record KeySecret(String text) {

  private static final String PREFIX = "trk_";
  private static final int RANDOM_BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  /** Returns a new random secret. */
  public static KeySecret generate() {
    byte[] bytes = new byte[RANDOM_BYTES];
    RANDOM.nextBytes(bytes);
    return new KeySecret(PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
  }

  /** Returns the hash that the configuration stores. */
  public String sha256() {
    return Sha256.hex(text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public String toString() {
    return "KeySecret[hidden]";
  }
}
