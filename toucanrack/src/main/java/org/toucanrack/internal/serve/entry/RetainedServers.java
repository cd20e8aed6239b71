package org.toucanrack.internal.serve.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.SharedRow;

/**
 * Backend servers whose rows may have expired during a store outage. They stay in use until they
 * have had the time to announce themselves again. Confined to the control thread.
 */
final class RetainedServers {

  /**
   * Servers whose rows expired during a store outage announce themselves again within this time.
   */
  private static final long REANNOUNCE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2200);

  private final DecisionLog log;
  private final Map<String, Retained> retained = new HashMap<>();

  private record Retained(AnnouncedServer server, long expiryNanos) {}

  RetainedServers(DecisionLog log) {
    this.log = log;
  }

  /** Stops retaining the server of a row that was written or removed. */
  void rowChanged(String name) {
    retained.remove(name);
  }

  /**
   * Retains a server whose row was removed, if the row may have expired.
   *
   * @param storeRecoveredNanos time at which the store answered again after its last outage
   */
  void rowRemoved(
      SharedRow row,
      AnnouncedServer server,
      boolean storeReached,
      long storeRecoveredNanos,
      long nowNanos) {
    boolean mayHaveExpired =
        !storeReached || nowNanos - storeRecoveredNanos < REANNOUNCE_GRACE_NANOS;
    if (mayHaveExpired && !server.draining()) {
      retained.put(row.key().name(), new Retained(server, nowNanos + REANNOUNCE_GRACE_NANOS));
      log.event("server-held", "server", row.key().name(), "revision", row.revision());
    }
  }

  /** Removes servers that did not announce themselves in time; returns whether there were any. */
  boolean removeExpired(long nowNanos) {
    return retained.values().removeIf(server -> nowNanos > server.expiryNanos());
  }

  /** Adds the retained servers to a list. */
  void addTo(Collection<AnnouncedServer> servers) {
    retained.values().forEach(server -> servers.add(server.server()));
  }
}
