package org.toucanrack.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.toucanrack.ErrorCode;

/**
 * Collects listener calls under the dispatcher's lock, to run them after its release. Not
 * thread-safe.
 */
final class PendingCalls {

  private final List<Runnable> calls = new ArrayList<>();

  void addGranted(QueuedRequest queued, SlotGrant grant) {
    calls.add(() -> queued.listener().granted(grant));
  }

  void addRefused(QueuedRequest queued, ErrorCode code, String reason) {
    calls.add(() -> queued.listener().refused(code, reason));
  }

  void addListeners(List<Runnable> listeners) {
    calls.addAll(listeners);
  }

  /** Runs every call, then rethrows the first exception. */
  void run() {
    RuntimeException first = null;
    for (Runnable call : calls) {
      try {
        call.run();
      } catch (RuntimeException exception) {
        first = first == null ? exception : first;
      }
    }
    if (first != null) {
      throw first;
    }
  }
}
