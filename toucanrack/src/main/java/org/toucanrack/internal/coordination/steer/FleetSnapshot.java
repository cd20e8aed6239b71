package org.toucanrack.internal.coordination.steer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.steering.AnnouncedServer;
import org.toucanrack.steering.SteeringRules;

/**
 * The state of the fleet as known to the control thread, published to the traffic thread as a
 * whole. Immutable and thread-safe.
 *
 * @param rules the newest rules, if any have been received
 * @param servers all announced servers
 * @param evacuated failure domains whose servers get no requests
 * @param trials the versions on trial, by service
 */
public record FleetSnapshot(
    Optional<SteeringRules> rules,
    List<AnnouncedServer> servers,
    Set<FailureDomainId> evacuated,
    Map<ServiceId, VersionTrial> trials) {

  /** The state before the first update. */
  public static final FleetSnapshot NONE =
      new FleetSnapshot(Optional.empty(), List.of(), Set.of(), Map.of());

  /** Copies the collections. */
  public FleetSnapshot {
    servers = List.copyOf(servers);
    evacuated = Set.copyOf(evacuated);
    trials = Map.copyOf(trials);
  }
}
