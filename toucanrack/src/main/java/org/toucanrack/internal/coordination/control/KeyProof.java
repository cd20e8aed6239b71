package org.toucanrack.internal.coordination.control;

import org.toucanrack.internal.state.KeyFreshness;

/**
 * When it was last proved that no newer version of the configuration, and so of the keys, existed.
 * Used by the control loop only.
 *
 * <p>Invariant: a proof counts from before the read that made it was sent, and only once the
 * version that it saw is adopted.
 */
final class KeyProof {

  /** Age that is reported while there is no proof; longer than any allowed age. */
  private static final long NO_PROOF_AGE_NANOS = 3_600 * ControlTimings.SECOND;

  private long provenAtNanos;
  private boolean proven;
  private long adoptedVersion;
  private long waitingVersion;
  private long waitingProvenAtNanos;

  /** Takes in that the table, read at this time, had this version as its newest. */
  void saw(long version, long readAtNanos) {
    if (version <= adoptedVersion) {
      prove(readAtNanos);
    } else if (version > waitingVersion || readAtNanos - waitingProvenAtNanos > 0) {
      waitingVersion = version;
      waitingProvenAtNanos = readAtNanos;
    }
  }

  void adopted(long version) {
    adoptedVersion = version;
    if (waitingVersion > 0 && waitingVersion <= version) {
      prove(waitingProvenAtNanos);
      waitingVersion = 0;
    }
  }

  private void prove(long atNanos) {
    if (!proven || atNanos - provenAtNanos > 0) {
      proven = true;
      provenAtNanos = atNanos;
    }
  }

  KeyFreshness freshness(long nowNanos) {
    return new KeyFreshness(proven ? provenAtNanos : nowNanos - NO_PROOF_AGE_NANOS);
  }

  /** Returns the age as told to peers; negative without proof. */
  long ageMillis(long nowNanos) {
    return proven ? ageRoundedUp(nowNanos - provenAtNanos) : -1;
  }

  private static long ageRoundedUp(long ageNanos) {
    return (ageNanos + ControlTimings.MILLIS - 1) / ControlTimings.MILLIS;
  }
}
