package org.toucanrack.internal.coordination.lease;

import java.util.Optional;
import org.toucanrack.id.Incarnation;

/**
 * The ownership of one resource. Immutable and thread-safe.
 *
 * @param owner the owner; empty while there is none
 * @param epoch increases at each change of the owner
 * @param quarantineMillis time for which a new owner must not use the resource, since requests of a
 *     lost owner may still be running; 0 after a confirmed release
 * @param releasing whether the owner was asked to stop using the resource and to confirm it
 */
public record ResourceAssignment(
    Optional<Incarnation> owner, long epoch, long quarantineMillis, boolean releasing) {

  static ResourceAssignment unowned(long epoch, long quarantineMillis) {
    return new ResourceAssignment(Optional.empty(), epoch, quarantineMillis, false);
  }

  ResourceAssignment toReleasing() {
    return new ResourceAssignment(owner, epoch, quarantineMillis, true);
  }

  ResourceAssignment assignedTo(Incarnation newOwner, long newEpoch) {
    return new ResourceAssignment(Optional.of(newOwner), newEpoch, quarantineMillis, false);
  }

  boolean isOwnedBy(Incarnation incarnation) {
    return owner.isPresent() && owner.get().equals(incarnation);
  }
}
