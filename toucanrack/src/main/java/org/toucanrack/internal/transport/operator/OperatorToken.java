package org.toucanrack.internal.transport.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Checks the bearer token of a request against the one in the settings, in constant time. Accepts
 * every request if no token is set. Immutable and thread-safe.
 */
final class OperatorToken {

  private static final String SCHEME = "Bearer ";

  private final Optional<byte[]> expected;

  OperatorToken(Optional<String> token) {
    this.expected = token.map(value -> value.getBytes(StandardCharsets.UTF_8));
  }

  boolean matches(String authorization) {
    if (expected.isEmpty()) {
      return true;
    }
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return false;
    }
    byte[] presented = authorization.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected.get(), presented);
  }
}
