package org.toucanrack.internal.coordination.dispatch;

import org.toucanrack.ErrorCode;

/**
 * Receives the decision on a {@link SlotRequest}: exactly one call, on any thread, never while the
 * dispatcher's lock is held.
 */
public interface SlotListener {

  /** The request may run now. */
  void granted(SlotGrant grant);

  /** The request was not run and will not be. */
  void refused(ErrorCode code, String reason);
}
