package org.toucanrack.internal.coordination.lease;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;

/**
 * What the writer of a domain row knows besides the row. Immutable and thread-safe.
 *
 * @param liveMembers members whose heartbeats arrived lately, with the writer itself
 * @param lostMembers members whose lease has ended and who are gone, by the evidence of the judge
 * @param releasedEpochs resources that their owners have stopped using, with the epoch they owned
 * @param catalog the declared resources; empty until a configuration was adopted
 * @param drainingVms VMs that operators drain
 * @param mayAssign whether resources may be assigned and moved; false while a new writer does not
 *     know yet who is alive
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
