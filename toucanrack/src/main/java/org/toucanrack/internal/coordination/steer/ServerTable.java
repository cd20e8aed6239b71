package org.toucanrack.internal.coordination.steer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;
import org.toucanrack.steering.AnnouncedServer;

/**
 * The backend servers that may be used, with the state of each run.
 *
 * <p>Invariant: the lists of {@link #usable} contain no server that is draining, evacuated or
 * removed. Not thread-safe.
 */
public final class ServerTable {

  /**
   * Added to the announced rest of the cold period, since announcements are up to one heartbeat
   * old.
   */
  private static final Duration COLD_MARGIN = Duration.ofMillis(500);

  /** Largest number of departed servers that are remembered for their notices. */
  private static final int MAX_DEPARTED = 1024;

  private final Map<FailureDomainId, RegionId> regions;

  /** Runs that are no longer announced and whose notices still hold, the latest last. */
  private final Map<ServerRun, ServerState> departed =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServerRun, ServerState> eldest) {
          return size() > MAX_DEPARTED;
        }
      };

  private final Map<BackendServerId, ServerState> states = new HashMap<>();
  private final Map<ServiceId, List<ServerState>> usable = new HashMap<>();
  private final Map<ServiceId, ServiceTimeEstimator> serviceTimes = new HashMap<>();
  private final Set<FailureDomainId> previouslyEvacuated = new HashSet<>();
  private final Map<ServiceId, Set<VersionId>> establishedVersions = new HashMap<>();

  /** Identifies one run of a server; another run knows nothing of what this one has said. */
  private record ServerRun(BackendServerId id, long startedAtMillis, InetSocketAddress address) {

    static ServerRun of(AnnouncedServer server) {
      return new ServerRun(server.id(), server.startedAtMillis(), server.address());
    }

    // Written out to spare each process the code that links the added ones, see
    // docs/design/start-up.md.
    @Override
    public boolean equals(Object other) {
      return other instanceof ServerRun run
          && id.equals(run.id)
          && startedAtMillis == run.startedAtMillis
          && address.equals(run.address);
    }

    @Override
    public int hashCode() {
      return id.hashCode() * 31 + Long.hashCode(startedAtMillis);
    }
  }

  /** Creates an empty table; servers in failure domains without a region are ignored. */
  public ServerTable(Map<FailureDomainId, RegionId> regions) {
    this.regions = regions;
  }

  /**
   * Replaces the servers by those of a snapshot; the state of servers that are still running is
   * kept.
   */
  public void update(FleetSnapshot snapshot, RuleIndex rules, long nowNanos) {
    usable.clear();
    Map<BackendServerId, ServerState> kept = new HashMap<>();
    for (AnnouncedServer server : snapshot.servers()) {
      RegionId region = regions.get(server.failureDomain());
      if (region == null) {
        continue;
      }
      ServerState state = stateOf(server, region, nowNanos);
      kept.put(server.id(), state);
      boolean evacuated = snapshot.evacuated().contains(server.failureDomain());
      if (previouslyEvacuated.contains(server.failureDomain()) && !evacuated) {
        // Servers of an evacuated domain may have been restarted in the meantime.
        Duration cold =
            rules.service(server.service()).map(rule -> rule.coldPeriod()).orElse(Duration.ZERO);
        state.extendColdUntil(nowNanos + cold.plus(COLD_MARGIN).toNanos());
      }
      if (!server.draining() && !evacuated) {
        usable.computeIfAbsent(server.service(), id -> new ArrayList<>()).add(state);
      }
    }
    previouslyEvacuated.clear();
    previouslyEvacuated.addAll(snapshot.evacuated());
    rememberNotices(kept, nowNanos);
    states.clear();
    states.putAll(kept);
    excludeVersionsWithoutOrder(snapshot);
  }

  /**
   * Keeps the states of servers that are no longer announced and whose notices still hold: a row
   * that expired during a store outage returns with the same run of its server.
   */
  private void rememberNotices(Map<BackendServerId, ServerState> kept, long nowNanos) {
    departed.values().removeIf(state -> !state.hasNotice(nowNanos));
    states.forEach(
        (id, state) -> {
          if (kept.get(id) != state && state.hasNotice(nowNanos)) {
            departed.put(ServerRun.of(state.announced()), state);
          }
        });
  }

  /** Returns the servers of a service that may get requests, of all versions. */
  public List<ServerState> usable(ServiceId service) {
    return usable.getOrDefault(service, List.of());
  }

  private ServerState stateOf(AnnouncedServer server, RegionId region, long nowNanos) {
    ServerState existing = states.get(server.id());
    ServerRun run = ServerRun.of(server);
    if (existing == null || !ServerRun.of(existing.announced()).equals(run)) {
      existing = departed.remove(run);
    }
    if (existing == null) {
      ServiceTimeEstimator serviceTime =
          serviceTimes.computeIfAbsent(server.service(), id -> new ServiceTimeEstimator());
      ServerState fresh = new ServerState(server, region, serviceTime, nowNanos);
      fresh.updateAnnouncement(server, nowNanos, COLD_MARGIN);
      return fresh;
    }
    if (!existing.announced().equals(server)) {
      existing.updateAnnouncement(server, nowNanos, COLD_MARGIN);
    }
    return existing;
  }

  /**
   * Removes servers of versions that are neither established nor on trial: servers of a new version
   * announce themselves shortly before the order that allows its use.
   */
  private void excludeVersionsWithoutOrder(FleetSnapshot snapshot) {
    for (Map.Entry<ServiceId, List<ServerState>> entry : usable.entrySet()) {
      Set<VersionId> established =
          establishedVersions.computeIfAbsent(entry.getKey(), id -> new HashSet<>());
      VersionTrial trial = snapshot.trials().get(entry.getKey());
      Set<VersionId> present = new HashSet<>();
      entry.getValue().forEach(state -> present.add(state.announced().version()));
      established.retainAll(present);
      if (trial != null && trial.share() == 1) {
        established.add(trial.to());
      }
      if (established.isEmpty()) {
        established.addAll(present);
        if (trial != null && present.size() > 1) {
          established.remove(trial.to());
        }
      }
      entry
          .getValue()
          .removeIf(
              state ->
                  !established.contains(state.announced().version())
                      && (trial == null || !trial.to().equals(state.announced().version())));
    }
  }
}
