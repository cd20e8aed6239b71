package org.toucanrack.internal.coordination.rollout;

/**
 * Selects by count the requests that are exposed to a candidate version, in bursts of consecutive
 * requests.
 *
 * <p>Invariant: with a constant share, of n requests at most ceil(share x n) are exposed. Not
 * thread-safe.
 */
final class ExposureCounter {

  private double share;
  private int burst = 1;
  private long requests;
  private long exposed;
  private int remainingInBurst;

  /**
   * Changes the share and resets the counts, since the bound applies per share.
   *
   * @param newBurst number of consecutive requests to expose, which puts servers under load even at
   *     a small share
   */
  void setShare(double newShare, int newBurst) {
    if (newShare != share || newBurst != burst) {
      share = newShare;
      burst = Math.max(1, newBurst);
      requests = 0;
      exposed = 0;
      remainingInBurst = 0;
    }
  }

  /** Counts one request and returns whether it is exposed. */
  boolean tryExpose() {
    requests++;
    double permitted = Math.ceil(share * requests) - exposed;
    if (remainingInBurst == 0 && permitted >= burst) {
      remainingInBurst = burst;
    }
    if (remainingInBurst == 0) {
      return false;
    }
    remainingInBurst--;
    exposed++;
    return true;
  }

  double currentShare() {
    return share;
  }
}
