package org.toucanrack.internal.state;

import java.util.Map;
import org.toucanrack.id.BackendServerId;

/**
 * The resources that this VM owns and was not asked to release. A VM dispatches to a backend server
 * only if it is listed here, its grant is usable and {@link LeaseView#permitsDispatch} holds.
 * Immutable and thread-safe.
 *
 * @param backendServers grants of backend servers
 * @param rateShares grants of rate shares
 */
public record UsableResources(
    Map<BackendServerId, ResourceGrant> backendServers,
    Map<RateShareId, ResourceGrant> rateShares) {

  /** Copies the maps. */
  public UsableResources {
    backendServers = Map.copyOf(backendServers);
    rateShares = Map.copyOf(rateShares);
  }

  /** Returns a set without resources. */
  public static UsableResources none() {
    return new UsableResources(Map.of(), Map.of());
  }
}
