package org.toucanrack.bench.load;

/** What became of a request, as far as its caller knows. */
public enum Outcome {
  /** It ran, and the complete answer arrived. */
  ANSWERED,
  /** It ran, and the answer is an error of the service. */
  FAILED,
  /** It did not run. */
  REFUSED,
  /** It may have run. */
  UNKNOWN
}
