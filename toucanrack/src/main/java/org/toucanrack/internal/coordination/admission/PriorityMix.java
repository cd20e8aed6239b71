package org.toucanrack.internal.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether a service receives requests of routes with different priorities, which compete for
 * its servers. Requests of a route that only a few callers use do not count. Not thread-safe.
 */
public final class PriorityMix {

  /** Part of the recent requests from which on a priority counts. */
  private static final double MIN_FRACTION = 0.1;

  /** Time after which a request counts a third. */
  private static final double FADE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<Integer, Double> requestsByPriority = new HashMap<>();
  private long fadedNanos;

  /** Creates a mix without requests. */
  public PriorityMix(long nowNanos) {
    this.fadedNanos = nowNanos;
  }

  /** Records a request of a route with this priority. */
  public void record(int routePriority, long nowNanos) {
    double factor = Math.exp(-Math.max(0, nowNanos - fadedNanos) / FADE_NANOS);
    fadedNanos = nowNanos;
    requestsByPriority.replaceAll((priority, requests) -> requests * factor);
    requestsByPriority.merge(routePriority, 1.0, Double::sum);
  }

  /** Returns whether at least two priorities have a relevant part of the recent requests. */
  public boolean isMixed() {
    double total = requestsByPriority.values().stream().mapToDouble(Double::doubleValue).sum();
    return requestsByPriority.values().stream()
            .filter(requests -> requests >= MIN_FRACTION * total)
            .count()
        > 1;
  }
}
