package org.toucanrack.internal.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes bodies and keys. Stateless and thread-safe. */
final class Sha256 {

  private Sha256() {}

  /** Returns 64 hexadecimal digits in lower case. */
  static String hex(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime has no SHA-256", e);
    }
  }
}
