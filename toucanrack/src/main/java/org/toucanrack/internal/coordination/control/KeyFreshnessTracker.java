package org.toucanrack.internal.coordination.control;

import org.toucanrack.internal.state.KeyFreshness;

/**
 * Tracks when it was last proved that no newer version of the configuration, and hence of the keys,
 * existed. Confined to the control thread.
 *
 * <p>Invariant: a proof is dated to before the read that gave it was sent, and counts only once the
 * version that was read is adopted.
 */
final class KeyFreshnessTracker {

  /** Age that is assumed while there is no proof; longer than any permitted age. */
  private static final long NO_PROOF_AGE_NANOS = 3_600 * ControlTimings.NANOS_PER_SECOND;

  private long lastProofNanos;
  private boolean proven;
  private long adoptedVersion;
  private long pendingVersion;
  private long pendingReadNanos;

  /** Records that a read of the table at the given time returned this version as the newest. */
  void observeVersion(long version, long readAtNanos) {
    if (version <= adoptedVersion) {
      recordProof(readAtNanos);
    } else if (version > pendingVersion || readAtNanos - pendingReadNanos > 0) {
      pendingVersion = version;
      pendingReadNanos = readAtNanos;
    }
  }

  void onAdopted(long version) {
    adoptedVersion = version;
    if (pendingVersion > 0 && pendingVersion <= version) {
      recordProof(pendingReadNanos);
      pendingVersion = 0;
    }
  }

  private void recordProof(long atNanos) {
    if (!proven || atNanos - lastProofNanos > 0) {
      proven = true;
      lastProofNanos = atNanos;
    }
  }

  KeyFreshness freshness(long nowNanos) {
    return new KeyFreshness(proven ? lastProofNanos : nowNanos - NO_PROOF_AGE_NANOS);
  }

  /** Returns the age of the proof as sent to peers, rounded up; negative without a proof. */
  long ageMillis(long nowNanos) {
    return proven ? ageRoundedUp(nowNanos - lastProofNanos) : -1;
  }

  private static long ageRoundedUp(long ageNanos) {
    return (ageNanos + ControlTimings.NANOS_PER_MILLISECOND - 1)
        / ControlTimings.NANOS_PER_MILLISECOND;
  }
}
