package org.toucanrack.internal.transport.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.toucanrack.internal.protocol.generated.MemberInfo;

/**
 * Computes and verifies the HMAC proofs of the handshake. The role is part of the proof, so that a
 * connector cannot reflect an acceptor's proof back to it. Thread-safe.
 */
final class HandshakeProof {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 32;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  HandshakeProof(String secret) {
    key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  ByteString newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }

  ByteString computeProof(
      Role role, MemberInfo prover, ByteString challenge, ByteString proverNonce) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(role.name().getBytes(StandardCharsets.US_ASCII));
      updateLengthPrefixed(mac, challenge.toByteArray());
      updateLengthPrefixed(mac, proverNonce.toByteArray());
      updateLengthPrefixed(mac, prover.toByteArray());
      return ByteString.copyFrom(mac.doFinal());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java runtime has no " + ALGORITHM, e);
    }
  }

  boolean isValid(
      ByteString proof, Role role, MemberInfo prover, ByteString challenge, ByteString nonce) {
    byte[] expected = computeProof(role, prover, challenge, nonce).toByteArray();
    return challenge.size() == NONCE_BYTES
        && nonce.size() == NONCE_BYTES
        && MessageDigest.isEqual(expected, proof.toByteArray());
  }

  private static void updateLengthPrefixed(Mac mac, byte[] part) {
    mac.update((byte) (part.length >>> 8));
    mac.update((byte) part.length);
    mac.update(part);
  }

  /** The end of the connection that computes the proof. */
  enum Role {
    CONNECTOR,
    ACCEPTOR
  }
}
