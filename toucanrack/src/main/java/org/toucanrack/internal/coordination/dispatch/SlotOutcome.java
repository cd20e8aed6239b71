package org.toucanrack.internal.coordination.dispatch;

/** How a request ended at its backend server. */
public enum SlotOutcome {
  SUCCEEDED,
  FAILED,
  TIMED_OUT,
  /** The backend server refused before it ran the request. */
  SHED,
  /** The connection was refused. */
  UNREACHABLE,
  CANCELLED
}
