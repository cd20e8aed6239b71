package org.toucanrack.internal.coordination.steer;

/** Why a usable server gets no request now. */
public enum Exclusion {
  /** An earlier attempt of the request was sent to it. */
  TRIED,
  /** It runs in a region that must not run the request. */
  OTHER_REGION,
  /** It has said in an answer that it is leaving. */
  LEAVING,
  /** It has asked for a pause that is not over yet. */
  REQUESTED_PAUSE,
  /** The pause that it asked for is over, and it has yet to answer the one request sent since. */
  RESUMING,
  /** It failed or refused requests shortly before. */
  PAUSED,
  /** It has not answered for long. */
  UNRESPONSIVE,
  /** It is cold, and this VM may not send it more requests now. */
  COLD
}
