package org.toucanrack.internal.coordination.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.toucanrack.id.CustomerId;

/**
 * Counts the attempts of this VM that servers began to run, by window and customer. An attempt
 * counts when it is sent, in the window of that time, and no longer if it turns out not to have
 * run.
 *
 * <p>Invariant: counts of at most {@link ReportWindows#MAX_WINDOWS} windows are kept. Counts are
 * made and published on the traffic thread; {@link #published} and {@link #setTrueTimeOffset} may
 * be called on any thread.
 */
public final class UsageCounter {

  private final ReportWindows windows;
  private final TreeMap<Long, Map<CustomerId, long[]>> counts = new TreeMap<>();
  private volatile long offsetNanos;
  private volatile Map<Long, Map<CustomerId, Long>> published = Map.of();

  /** Creates a counter without counts; it counts nothing before the first time offset is set. */
  public UsageCounter(ReportWindows windows) {
    this.windows = windows;
  }

  /** Sets the difference between true time and the monotonic clock. */
  public void setTrueTimeOffset(long newOffsetNanos) {
    offsetNanos = newOffsetNanos;
  }

  /** Counts an attempt that is sent at a monotonic time. */
  public void countSent(CustomerId customer, long nowNanos) {
    if (offsetNanos == 0) {
      return;
    }
    long window = windows.windowAt(nowNanos + offsetNanos);
    counts.computeIfAbsent(window, key -> new HashMap<>())
        .computeIfAbsent(customer, key -> new long[1])[0]++;
    while (counts.size() > ReportWindows.MAX_WINDOWS) {
      counts.pollFirstEntry();
    }
  }

  /** Takes back the count of an attempt that certainly did not run. */
  public void countNotRun(CustomerId customer, long sentNanos) {
    Map<CustomerId, long[]> window = counts.get(windows.windowAt(sentNanos + offsetNanos));
    long[] count = window == null ? null : window.get(customer);
    if (count != null) {
      count[0]--;
    }
  }

  /** Makes the counts visible to other threads. */
  public void publish() {
    Map<Long, Map<CustomerId, Long>> copy = new HashMap<>();
    counts.forEach(
        (window, customers) -> {
          Map<CustomerId, Long> positive = new HashMap<>();
          customers.forEach(
              (customer, count) -> {
                // The offset may change between sending and the refusal, so that a refusal can
                // count in another window than its attempt.
                if (count[0] > 0) {
                  positive.put(customer, count[0]);
                }
              });
          copy.put(window, Map.copyOf(positive));
        });
    published = Map.copyOf(copy);
  }

  /** Returns the counts that were published last, by window and customer. */
  public Map<Long, Map<CustomerId, Long>> published() {
    return published;
  }
}
