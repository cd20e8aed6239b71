package org.toucanrack.internal.state;

import java.util.Map;
import org.toucanrack.id.BackendServerId;

/**
 * Resources that this VM owns and has not been asked to release. A VM dispatches to a backend
 * server only if the server is listed here, its grant is usable and {@link
 * LeaseView#permitsDispatch} returns true. Immutable and thread-safe.
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

  /** Returns an empty set of resources. */
  public static UsableResources none() {
    return new UsableResources(Map.of(), Map.of());
  }
}
