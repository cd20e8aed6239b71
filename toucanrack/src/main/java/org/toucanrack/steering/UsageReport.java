package org.toucanrack.steering;

import java.util.Map;
import java.util.Objects;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;

/**
 * The report of one window, as it is sent to the platform. Immutable and thread-safe.
 *
 * @param holder the VM that holds the duty
 * @param fence the fence with which it holds the duty
 * @param window the number of the window
 * @param counts the requests that servers began to run in the window, by customer
 */
public record UsageReport(VmId holder, long fence, long window, Map<CustomerId, Long> counts) {

  /** Copies the counts. */
  public UsageReport {
    Objects.requireNonNull(holder, "holder");
    counts = Map.copyOf(counts);
  }
}
