package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;

/**
 * Releases the resources that the domain row asks this VM to hand over, once their quarantine is
 * over and their last request has ended. Confined to the control thread.
 */
final class HandoverTracker {

  private final ControlState state;
  private final OwnershipView view;
  private final ResourceDrainer drainer;

  HandoverTracker(ControlState state, OwnershipView view, ResourceDrainer drainer) {
    this.state = state;
    this.view = view;
    this.drainer = drainer;
  }

  /** Returns the resources that another VM may take over now, with their epochs. */
  Map<ResourceId, Long> releasedResources(long nowNanos) {
    Map<ResourceId, Long> released = new HashMap<>();
    state
        .ownRow()
        .ifPresent(
            known ->
                known
                    .row()
                    .assignments()
                    .forEach(
                        (id, assignment) -> {
                          if (tryRelease(id, assignment, nowNanos)) {
                            released.put(id, assignment.epoch());
                          }
                        }));
    return released;
  }

  private boolean tryRelease(ResourceId id, ResourceAssignment assignment, long nowNanos) {
    return assignment.releasing()
        && assignment.owner().filter(state.id()::equals).isPresent()
        && view.isQuarantineOver(state.domain(), id, assignment, nowNanos)
        && drainer.drain(id, assignment.epoch());
  }
}
