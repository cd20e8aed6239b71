package org.toucanrack.internal.state;

import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.Incarnation;

/**
 * Owners of the leased resources of all failure domains. Immutable and thread-safe.
 *
 * <p>Invariant: a resource has at most one owner.
 *
 * @param backendServers owner of all slots of each backend server
 * @param rateShares owner of each share of a customer's rate
 */
public record Ownership(
    Map<BackendServerId, Incarnation> backendServers, Map<RateShareId, Incarnation> rateShares) {

  /** Copies the maps. */
  public Ownership {
    backendServers = Map.copyOf(backendServers);
    rateShares = Map.copyOf(rateShares);
  }

  /** Returns an ownership in which no resource has an owner. */
  public static Ownership none() {
    return new Ownership(Map.of(), Map.of());
  }

  /** Returns the owner of a backend server's slots, if any. */
  public Optional<Incarnation> ownerOf(BackendServerId server) {
    return Optional.ofNullable(backendServers.get(server));
  }
}
