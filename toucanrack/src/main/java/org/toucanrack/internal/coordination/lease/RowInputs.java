package org.toucanrack.internal.coordination.lease;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

/**
 * Inputs of {@link DomainRowUpdater} besides the current row. Immutable and thread-safe.
 *
 * @param liveMembers members with a recent heartbeat, including the writer itself
 * @param lostMembers members whose lease has ended and that {@link MemberFailureDetector} reports
 *     as lost
 * @param releasedEpochs resources whose owners have confirmed the release, with the epoch of that
 *     ownership
 * @param catalog the declared resources; empty until a configuration was adopted
 * @param drainingVms VMs that an operator is draining
 * @param mayAssign whether resources may be assigned and moved; false until a new writer has
 *     learned which members are alive
 * @param operation the operation id of the write
 */
public record RowInputs(
    Map<Incarnation, RowMember> liveMembers,
    Set<Incarnation> lostMembers,
    Map<ResourceId, Long> releasedEpochs,
    Optional<ResourceCatalog> catalog,
    Set<VmId> drainingVms,
    boolean mayAssign,
    String operation) {

  /** Copies the collections. */
  public RowInputs {
    liveMembers = Map.copyOf(liveMembers);
    lostMembers = Set.copyOf(lostMembers);
    releasedEpochs = Map.copyOf(releasedEpochs);
    drainingVms = Set.copyOf(drainingVms);
  }
}
