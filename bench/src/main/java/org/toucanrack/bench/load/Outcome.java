package org.toucanrack.bench.load;

/** The outcome of a request from the point of view of its caller. */
public enum Outcome {
  /** The request ran and the complete answer arrived. */
  ANSWERED,
  /** The request ran and the service answered with an error. */
  FAILED,
  /** The request did not run. */
  REFUSED,
  /** The request may have run. */
  UNKNOWN
}
