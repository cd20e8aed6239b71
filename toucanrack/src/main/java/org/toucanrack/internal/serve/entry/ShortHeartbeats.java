package org.toucanrack.internal.serve.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;

/**
 * Converts heartbeats to their short form and back. The short form leaves out what the receiver has
 * from an earlier heartbeat of the same run of the sender: the fields that never change, and the
 * customers of its claims. Stateless and thread-safe.
 */
final class ShortHeartbeats {

  private static final int NUMBERS_PER_CLAIM = 3;
  private static final int HASH_FACTOR = 0x9e3779b1;

  private ShortHeartbeats() {}

  /** Returns a hash of the customers in encoded claims, and of their order. */
  static int customersDigest(List<Integer> claims) {
    int digest = claims.size();
    for (int i = 0; i + NUMBERS_PER_CLAIM <= claims.size(); i += NUMBERS_PER_CLAIM) {
      digest = (digest ^ claims.get(i)) * HASH_FACTOR;
      digest ^= digest >>> 15;
    }
    return digest;
  }

  /** Removes the fields that never change while the sender runs. */
  static EntryHeartbeat.Builder shorten(EntryHeartbeat.Builder heartbeat) {
    return heartbeat
        .clearVm()
        .clearFailureDomain()
        .clearCallersAddress()
        .clearPeersAddress()
        .clearRequestCapacity();
  }

  /** Adds claims without their customers. */
  static EntryHeartbeat.Builder addClaimValues(
      EntryHeartbeat.Builder heartbeat, List<Integer> claims) {
    for (int i = 0; i + NUMBERS_PER_CLAIM <= claims.size(); i += NUMBERS_PER_CLAIM) {
      heartbeat.addClaimValues(claims.get(i + 1)).addClaimValues(claims.get(i + 2));
    }
    return heartbeat.setCustomersDigest(customersDigest(claims));
  }

  /**
   * Restores a heartbeat, or returns nothing if the earlier one does not have what was left out.
   *
   * @param earlier the latest heartbeat of the same run of the sender, with its latest claims
   */
  static Optional<EntryHeartbeat> restore(EntryHeartbeat received, EntryHeartbeat earlier) {
    EntryHeartbeat.Builder heartbeat =
        received.toBuilder()
            .clearCustomersDigest()
            .clearClaimValues()
            .setVm(earlier.getVm())
            .setFailureDomain(earlier.getFailureDomain())
            .setCallersAddress(earlier.getCallersAddress())
            .setPeersAddress(earlier.getPeersAddress())
            .setRequestCapacity(earlier.getRequestCapacity());
    if (received.getClaimValuesCount() == 0) {
      return Optional.of(heartbeat.build());
    }
    List<Integer> claims = earlier.getClaimsList();
    List<Integer> values = received.getClaimValuesList();
    int customers = claims.size() / NUMBERS_PER_CLAIM;
    if (customersDigest(claims) != received.getCustomersDigest()
        || values.size() != (NUMBERS_PER_CLAIM - 1) * customers) {
      return Optional.empty();
    }
    List<Integer> restored = new ArrayList<>(claims);
    for (int i = 0; i < customers; i++) {
      restored.set(NUMBERS_PER_CLAIM * i + 1, values.get(2 * i));
      restored.set(NUMBERS_PER_CLAIM * i + 2, values.get(2 * i + 1));
    }
    return Optional.of(heartbeat.addAllClaims(restored).build());
  }
}
