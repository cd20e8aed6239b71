package org.toucanrack.internal.coordination.rollout;

/** The states of a version rollout. */
public enum RolloutState {
  /** A small share, whose requests are packed to put a few servers under load. */
  EXPOSING,
  RAMPING,
  COMPLETE,
  /** The version was rolled back and stays so until it is declared anew. */
  TAKEN_BACK
}
