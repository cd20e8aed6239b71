package org.toucanrack.internal.coordination.control;

import org.toucanrack.internal.state.KeyFreshness;

/**
 * When it was last proved that no newer version of the configuration, and so of the keys, existed.
 * Used by the control loop only.
 *
 * <p>Invariant: a proof counts from before the read that made it was sent, and only once the
 * version that it saw is adopted.
 */
final class KeyFreshnessTracker {

  /** Age that is reported while there is no proof; longer than any allowed age. */
  private static final long NO_PROOF_AGE_NANOS = 3_600 * ControlTimings.NANOS_PER_SECOND;

  private long lastProofNanos;
  private boolean proven;
  private long adoptedVersion;
  private long pendingVersion;
  private long pendingReadNanos;

  /** Takes in that the table, read at this time, had this version as its newest. */
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

  /** Returns the age as told to peers; negative without proof. */
  long ageMillis(long nowNanos) {
    return proven ? ageRoundedUp(nowNanos - lastProofNanos) : -1;
  }

  private static long ageRoundedUp(long ageNanos) {
    return (ageNanos + ControlTimings.NANOS_PER_MILLISECOND - 1)
        / ControlTimings.NANOS_PER_MILLISECOND;
  }
}
