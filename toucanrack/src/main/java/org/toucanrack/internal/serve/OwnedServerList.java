package org.toucanrack.internal.serve;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.dispatch.OwnedServer;
import org.toucanrack.internal.coordination.dispatch.VersionRole;
import org.toucanrack.internal.coordination.rollout.RolloutPlanner;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.ResourceGrant;
import org.toucanrack.internal.state.VersionShare;
import org.toucanrack.internal.transport.health.BackendHealth;

/**
 * Lists the usable backend servers of one snapshot with their health and version role. Confined to
 * one thread.
 */
final class OwnedServerList {

  private final ControlSnapshot snapshot;
  private final Map<BackendServerId, BackendHealth> health;
  private final Set<String> drained;
  private final BiPredicate<BackendServerId, ResourceGrant> isUsable;

  OwnedServerList(
      ControlSnapshot snapshot,
      Map<BackendServerId, BackendHealth> health,
      Set<String> drained,
      BiPredicate<BackendServerId, ResourceGrant> isUsable) {
    this.snapshot = snapshot;
    this.health = health;
    this.drained = drained;
    this.isUsable = isUsable;
  }

  /** Returns the backend servers for which the snapshot holds a grant. */
  static List<BackendServer> granted(ControlSnapshot snapshot) {
    Map<BackendServerId, ResourceGrant> grants = snapshot.usable().backendServers();
    return snapshot.configuration().stream()
        .flatMap(configuration -> configuration.deployment().backendServers().stream())
        .filter(server -> grants.containsKey(server.id()))
        .toList();
  }

  List<OwnedServer> servers() {
    Deployment deployment = snapshot.configuration().orElseThrow().deployment();
    Set<ServiceVersion> candidates =
        deployment.versions().stream()
            .filter(ServiceVersion::isCandidate)
            .collect(Collectors.toUnmodifiableSet());
    return granted(snapshot).stream()
        .filter(server -> isUsable.test(server.id(), grant(server)))
        .map(server -> toOwnedServer(server, role(server, candidates)))
        .toList();
  }

  private ResourceGrant grant(BackendServer server) {
    return snapshot.usable().backendServers().get(server.id());
  }

  private OwnedServer toOwnedServer(BackendServer server, VersionRole role) {
    BackendHealth state = health.getOrDefault(server.id(), BackendHealth.UNKNOWN);
    return new OwnedServer(
        server,
        grant(server).usableFromNanos(),
        state.draining() || drained.contains(server.id().value()),
        server.slots(),
        role,
        OptionalLong.empty(),
        state.load());
  }

  private VersionRole role(BackendServer server, Set<ServiceVersion> candidates) {
    boolean isCandidate =
        candidates.stream()
            .anyMatch(
                version ->
                    version.service().equals(server.service())
                        && version.id().equals(server.version()));
    if (!isCandidate) {
      return VersionRole.CURRENT;
    }
    return shareOf(server) <= RolloutPlanner.MAX_PROBE_SHARE
        ? VersionRole.CANDIDATE_UNDER_PROBE
        : VersionRole.CANDIDATE;
  }

  private double shareOf(BackendServer server) {
    return snapshot.versionShares().stream()
        .filter(share -> share.service().equals(server.service()))
        .filter(share -> share.version().equals(server.version()))
        .mapToDouble(VersionShare::share)
        .findFirst()
        .orElse(0);
  }
}
