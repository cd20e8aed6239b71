package org.toucanrack.internal.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.Incarnation;

/**
 * Control state that traffic threads use. The control event loop publishes a new snapshot after
 * each change. Immutable and thread-safe.
 *
 * @param self this VM
 * @param configuration adopted configuration; empty until a version is adopted
 * @param members all known VMs of all failure domains, including this one
 * @param ownership owners of leased resources
 * @param lease lease that permits this VM to use its resources
 * @param keyFreshness time of the newest proof that keys are fresh
 * @param splits traffic splits that moves have set
 * @param versionShares traffic shares of versions under rollout
 * @param ready whether this VM may accept traffic
 * @param usable resources that this VM may use while its lease permits dispatching
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
