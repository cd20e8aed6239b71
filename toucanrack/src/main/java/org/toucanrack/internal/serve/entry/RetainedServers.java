package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.SharedRow;

/**
 * Backend servers whose rows may have expired during a store outage. They stay in use until they
 * have had the time to announce themselves again.
 *
 * <p>A VM cannot tell an outage of the store from one of its own path to it, during which a server
 * may really have left. Invariant: no server is retained for longer than the settling time after
 * the start of the last call that failed, which is a lower bound of the end of the outage. Confined
 * to the control thread.
 */
final class RetainedServers {

  /**
   * Servers whose rows expired during a store outage announce themselves again within this time.
   */
  private static final long REANNOUNCE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2200);

  /**
   * Margin for the interval at which expired servers are removed, for late timers and for requests
   * that are being sent.
   */
  private static final long RELEASE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** A single failed call is no outage, since the store refuses calls above its rate. */
  private static final int MIN_CONSECUTIVE_FAILURES = 2;

  private final DecisionLog log;
  private final long settlingNanos;
  private final Map<String, Retained> retained = new HashMap<>();
  private int consecutiveFailures;
  private OptionalLong outageNanos = OptionalLong.empty();

  private record Retained(AnnouncedServer server, long expiryNanos) {}

  /**
   * Creates an instance without servers.
   *
   * @param settlingTime time after an outage in which this VM need not keep the limits yet
   */
  RetainedServers(Duration settlingTime, DecisionLog log) {
    this.settlingNanos = settlingTime.toNanos();
    this.log = log;
  }

  /** Records that the store answered a call. */
  void storeAnswered() {
    consecutiveFailures = 0;
  }

  /** Records that the store did not answer a call that was made at the given time. */
  void storeFailed(long calledNanos) {
    consecutiveFailures++;
    if (consecutiveFailures >= MIN_CONSECUTIVE_FAILURES) {
      outageNanos = OptionalLong.of(Math.max(outageNanos.orElse(calledNanos), calledNanos));
    }
  }

  /**
   * Returns until when servers may be carried that the store lacks or shows in an earlier state
   * after a restore from a copy. This VM learns of the restore now; if it was cut off until now,
   * the settling time began at the end of the cut.
   */
  long carriedUntil(long nowNanos) {
    long settlingFromNow = settlingNanos - RELEASE_MARGIN_NANOS;
    long settledNanos =
        outageNanos.isPresent() ? outageNanos.getAsLong() + settlingFromNow - nowNanos : 0;
    return nowNanos
        + Math.min(REANNOUNCE_GRACE_NANOS, settledNanos > 0 ? settledNanos : settlingFromNow);
  }

  /** Stops retaining the server of a row that was written or removed. */
  void rowChanged(String name) {
    retained.remove(name);
  }

  /** Retains a server whose row was removed, if the row may have expired. */
  void rowRemoved(SharedRow row, AnnouncedServer server, long nowNanos) {
    if (outageNanos.isEmpty() || server.draining()) {
      return;
    }
    long settledNanos = outageNanos.getAsLong() + settlingNanos - RELEASE_MARGIN_NANOS;
    long periodNanos = Math.min(REANNOUNCE_GRACE_NANOS, settledNanos - nowNanos);
    if (periodNanos <= 0) {
      return;
    }
    retained.put(row.key().name(), new Retained(server, nowNanos + periodNanos));
    log.event(
        "server-held",
        "server",
        row.key().name(),
        "revision",
        row.revision(),
        "ms",
        TimeUnit.NANOSECONDS.toMillis(periodNanos));
  }

  /** Removes servers that did not announce themselves in time; returns whether there were any. */
  boolean removeExpired(long nowNanos) {
    return retained.values().removeIf(server -> nowNanos - server.expiryNanos() >= 0);
  }

  /** Adds the retained servers to a list. */
  void addTo(Collection<AnnouncedServer> servers) {
    retained.values().forEach(server -> servers.add(server.server()));
  }
}
