package org.toucanrack.internal.serve;

import java.util.Set;
import org.toucanrack.internal.state.ControlSnapshot;

/**
 * Says what differs between the newest snapshot and the one adopted before. Most snapshots only
 * renew the lease; adopting all of them took 88 to 100 ms of CPU for 1,000 customers. Used by the
 * control thread.
 */
final class SnapshotChanges {

  private ControlSnapshot adopted;
  private Set<String> adoptedDrains = Set.of();

  /** Returns whether the configuration, the owners or what this VM may use has changed. */
  boolean resourcesChanged(ControlSnapshot next) {
    return adopted == null
        || !adopted.self().equals(next.self())
        || !adopted.configuration().equals(next.configuration())
        || !adopted.usable().equals(next.usable())
        || !adopted.ownership().equals(next.ownership());
  }

  /** Returns whether dispatchers have to be updated. */
  boolean dispatchChanged(ControlSnapshot next, Set<String> drains) {
    return resourcesChanged(next)
        || !adopted.versionShares().equals(next.versionShares())
        || !adoptedDrains.equals(drains);
  }

  void adopted(ControlSnapshot next, Set<String> drains) {
    adopted = next;
    adoptedDrains = drains;
  }
}
