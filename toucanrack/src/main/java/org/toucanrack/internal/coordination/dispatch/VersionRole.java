package org.toucanrack.internal.coordination.dispatch;

/** The role of a backend server's version in its service. */
public enum VersionRole {
  /** Serves requests that name no version. */
  CURRENT,
  /** Is being rolled out; serves only requests that name its version. */
  CANDIDATE,
  /**
   * Is being rolled out at a small share; its requests are packed on few servers, so that these run
   * at full concurrency and show faults that occur only under load.
   */
  CANDIDATE_UNDER_PROBE;

  boolean isCandidate() {
    return this != CURRENT;
  }
}
