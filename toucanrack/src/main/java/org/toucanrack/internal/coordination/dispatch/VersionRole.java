package org.toucanrack.internal.coordination.dispatch;

/** The part that a backend server's version plays in its service. */
public enum VersionRole {
  /** Serves requests that name no version. */
  CURRENT,
  /** Is being rolled out; serves only requests that name its version. */
  CANDIDATE,
  /**
   * Is being rolled out at a small share; its requests are packed on few servers, so that these run
   * at full concurrency and faults under load become visible.
   */
  CANDIDATE_UNDER_PROBE;

  boolean isCandidate() {
    return this != CURRENT;
  }
}
