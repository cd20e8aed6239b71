package org.toucanrack.internal.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.Incarnation;

/**
 * All control state that traffic threads use. The control event loop publishes a new one after each
 * change. Immutable and thread-safe.
 *
 * @param self this VM
 * @param configuration empty until a version was adopted
 * @param members all known VMs of all failure domains, with this one
 * @param ownership owners of leased resources
 * @param lease the right of this VM to use what it owns
 * @param keyFreshness how recently keys were proved fresh
 * @param splits traffic splits of moves
 * @param versionShares shares of versions under rollout
 * @param ready whether this VM may take traffic
 * @param usable resources that this VM may use while its lease permits it
 */
public record ControlSnapshot(
    Member self,
    Optional<Configuration> configuration,
    Map<Incarnation, Member> members,
    Ownership ownership,
    LeaseView lease,
    KeyFreshness keyFreshness,
    List<TrafficSplit> splits,
    List<VersionShare> versionShares,
    boolean ready,
    UsableResources usable) {

  /** Copies the collections. */
  public ControlSnapshot {
    members = Map.copyOf(members);
    splits = List.copyOf(splits);
    versionShares = List.copyOf(versionShares);
  }

  /** Creates a snapshot of a VM that may use no resources. */
  public ControlSnapshot(
      Member self,
      Optional<Configuration> configuration,
      Map<Incarnation, Member> members,
      Ownership ownership,
      LeaseView lease,
      KeyFreshness keyFreshness,
      List<TrafficSplit> splits,
      List<VersionShare> versionShares,
      boolean ready) {
    this(
        self,
        configuration,
        members,
        ownership,
        lease,
        keyFreshness,
        splits,
        versionShares,
        ready,
        UsableResources.none());
  }

  /** Returns whether this VM may dispatch to the backend server at this time. */
  public boolean mayDispatchTo(BackendServerId server, long nowNanos) {
    ResourceGrant grant = usable.backendServers().get(server);
    return grant != null && grant.isUsable(nowNanos) && lease.permitsDispatch(nowNanos);
  }
}
