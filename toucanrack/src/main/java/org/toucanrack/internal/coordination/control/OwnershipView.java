package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.state.Ownership;
import org.toucanrack.internal.state.RateShareId;
import org.toucanrack.internal.state.ResourceGrant;
import org.toucanrack.internal.state.UsableResources;

/**
 * Derives owners and grants from the domain rows. Rebuilt only after a row changed or a quarantine
 * ended. Confined to the control thread.
 *
 * <p>Invariant: an owner is listed only if the row permits it to dispatch: it was not asked to
 * release the resource and the quarantine is over.
 */
final class OwnershipView {

  private final ControlState state;
  private final Map<FailureDomainId, Map<ResourceId, Grant>> grants = new HashMap<>();
  private final Map<FailureDomainId, Long> generations = new HashMap<>();
  private Map<Incarnation, Member> members = Map.of();
  private Ownership ownership = Ownership.none();
  private UsableResources usable = UsableResources.none();
  private Member builtForSelf;
  private long builtAtChangeCount = -1;
  private Optional<Long> nextQuarantineEndNanos = Optional.empty();

  OwnershipView(ControlState state) {
    this.state = state;
  }

  /** Rebuilds the view if it is out of date; returns whether it was rebuilt. */
  boolean refresh(long nowNanos) {
    boolean quarantineEnded = nextQuarantineEndNanos.filter(end -> nowNanos - end >= 0).isPresent();
    if (builtAtChangeCount == state.rows.changeCount()
        && !quarantineEnded
        && state.self().equals(builtForSelf)) {
      return false;
    }
    builtForSelf = state.self();
    builtAtChangeCount = state.rows.changeCount();
    nextQuarantineEndNanos = Optional.empty();
    rebuild(nowNanos);
    return true;
  }

  private void rebuild(long nowNanos) {
    Map<BackendServerId, Incarnation> servers = new HashMap<>();
    Map<RateShareId, Incarnation> shares = new HashMap<>();
    for (DomainRows.VersionedRow known : state.rows.all()) {
      recordGrants(known.row(), nowNanos);
      addOwners(known.row(), nowNanos, servers, shares);
    }
    ownership = new Ownership(servers, shares);
    usable = ownGrants();
    Map<Incarnation, Member> all = new HashMap<>(state.rows.members());
    all.put(state.id(), state.self());
    members = Map.copyOf(all);
  }

  /** Records when each ownership was first observed, which is when its quarantine starts. */
  private void recordGrants(DomainRow row, long nowNanos) {
    FailureDomainId domain = row.failureDomain();
    Long previousGeneration = generations.put(domain, row.generation());
    if (previousGeneration != null && previousGeneration == row.generation()) {
      return;
    }
    Map<ResourceId, Grant> before = grants.getOrDefault(domain, Map.of());
    Map<ResourceId, Grant> current = new HashMap<>();
    row.assignments()
        .forEach(
            (id, assignment) -> {
              Grant known = before.get(id);
              boolean same = known != null && known.epoch() == assignment.epoch();
              current.put(
                  id, same ? known : newGrant(assignment, previousGeneration == null, nowNanos));
            });
    grants.put(domain, current);
  }

  /**
   * Returns the grant of an ownership that was not observed before. If another VM owns the resource
   * in the first row that this VM reads, no quarantine applies here, since the owner enforces it
   * itself.
   */
  private Grant newGrant(ResourceAssignment assignment, boolean firstRow, long nowNanos) {
    boolean ownedBySelf = assignment.owner().filter(state.id()::equals).isPresent();
    long waitNanos =
        firstRow && !ownedBySelf
            ? 0
            : assignment.quarantineMillis() * ControlTimings.NANOS_PER_MILLISECOND;
    return new Grant(assignment.epoch(), nowNanos + waitNanos);
  }

  private void addOwners(
      DomainRow row,
      long nowNanos,
      Map<BackendServerId, Incarnation> servers,
      Map<RateShareId, Incarnation> shares) {
    row.assignments()
        .forEach(
            (id, assignment) -> {
              if (assignment.owner().isEmpty() || assignment.releasing()) {
                return;
              }
              long usableFrom = grants.get(row.failureDomain()).get(id).usableFromNanos();
              if (nowNanos - usableFrom < 0) {
                scheduleRebuild(usableFrom);
                return;
              }
              id.backendServer().ifPresent(server -> servers.put(server, assignment.owner().get()));
              id.rateShare(row.failureDomain())
                  .ifPresent(share -> shares.put(share, assignment.owner().get()));
            });
  }

  private void scheduleRebuild(long endNanos) {
    if (nextQuarantineEndNanos.filter(end -> end - endNanos <= 0).isEmpty()) {
      nextQuarantineEndNanos = Optional.of(endNanos);
    }
  }

  private UsableResources ownGrants() {
    Map<BackendServerId, ResourceGrant> servers = new HashMap<>();
    Map<RateShareId, ResourceGrant> shares = new HashMap<>();
    state
        .ownRow()
        .ifPresent(
            known ->
                known
                    .row()
                    .assignments()
                    .forEach((id, assignment) -> addOwnGrant(id, assignment, servers, shares)));
    return new UsableResources(servers, shares);
  }

  private void addOwnGrant(
      ResourceId id,
      ResourceAssignment assignment,
      Map<BackendServerId, ResourceGrant> servers,
      Map<RateShareId, ResourceGrant> shares) {
    boolean ownedBySelf = assignment.owner().filter(state.id()::equals).isPresent();
    if (!ownedBySelf || assignment.releasing()) {
      return;
    }
    ResourceGrant grant =
        new ResourceGrant(assignment.epoch(), grants.get(state.domain()).get(id).usableFromNanos());
    id.backendServer().ifPresent(server -> servers.put(server, grant));
    id.rateShare(state.domain()).ifPresent(share -> shares.put(share, grant));
  }

  boolean isQuarantineOver(
      FailureDomainId domain, ResourceId id, ResourceAssignment assignment, long nowNanos) {
    Grant grant = grants.getOrDefault(domain, Map.of()).get(id);
    return grant != null
        && grant.epoch() == assignment.epoch()
        && nowNanos - grant.usableFromNanos() >= 0;
  }

  Ownership ownership() {
    return ownership;
  }

  UsableResources usable() {
    return usable;
  }

  Map<Incarnation, Member> members() {
    return members;
  }

  private record Grant(long epoch, long usableFromNanos) {}
}
