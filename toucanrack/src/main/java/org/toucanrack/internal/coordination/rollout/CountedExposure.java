package org.toucanrack.internal.coordination.rollout;

/**
 * Exposes a candidate version by count.
 *
 * <p>Invariant: with a constant share, of n requests at most ceil(share x n) are exposed. Not
 * thread-safe.
 */
final class CountedExposure {

  private double share;
  private long requests;
  private long exposed;

  /** Changes the share; counts start anew, since the bound applies per share. */
  void share(double newShare) {
    if (newShare != share) {
      share = newShare;
      requests = 0;
      exposed = 0;
    }
  }

  /** Counts one request and returns whether it is exposed. */
  boolean next() {
    requests++;
    if (exposed + 1 > Math.ceil(share * requests)) {
      return false;
    }
    exposed++;
    return true;
  }
}
