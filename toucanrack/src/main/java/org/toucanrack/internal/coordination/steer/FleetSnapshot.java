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
 * What the control thread knows about the fleet, published as a whole. Immutable and thread-safe.
 *
 * @param rules the newest rules, if any are known
 * @param servers all announced servers
 * @param evacuated failure domains whose servers get nothing
 * @param trials the versions on trial, by service
 */
public record FleetSnapshot(
    Optional<SteeringRules> rules,
    List<AnnouncedServer> servers,
    Set<FailureDomainId> evacuated,
    Map<ServiceId, VersionTrial> trials) {

  /** Nothing is known. */
  public static final FleetSnapshot NONE =
      new FleetSnapshot(Optional.empty(), List.of(), Set.of(), Map.of());

  /** Copies the collections. */
  public FleetSnapshot {
    servers = List.copyOf(servers);
    evacuated = Set.copyOf(evacuated);
    trials = Map.copyOf(trials);
  }
}
