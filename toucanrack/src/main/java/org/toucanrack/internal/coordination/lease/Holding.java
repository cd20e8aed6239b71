package org.toucanrack.internal.coordination.lease;

import java.util.Optional;
import org.toucanrack.id.Incarnation;

/**
 * Who owns one resource. Immutable and thread-safe.
 *
 * @param owner the owner; empty while there is none
 * @param epoch rises at each change of the owner
 * @param quarantineMillis how long a new owner leaves the resource unused, since requests of a lost
 *     owner may still be running; 0 after a confirmed release
 * @param releasing whether the owner was asked to stop using the resource and to confirm it
 */
public record Holding(
    Optional<Incarnation> owner, long epoch, long quarantineMillis, boolean releasing) {

  static Holding unowned(long epoch, long quarantineMillis) {
    return new Holding(Optional.empty(), epoch, quarantineMillis, false);
  }

  Holding release() {
    return new Holding(owner, epoch, quarantineMillis, true);
  }

  Holding assignedTo(Incarnation newOwner, long newEpoch) {
    return new Holding(Optional.of(newOwner), newEpoch, quarantineMillis, false);
  }

  boolean isOwnedBy(Incarnation incarnation) {
    return owner.isPresent() && owner.get().equals(incarnation);
  }
}
