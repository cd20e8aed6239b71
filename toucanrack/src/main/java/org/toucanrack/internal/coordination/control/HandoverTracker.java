package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;

/**
 * Finds the resources of this VM that may be released: those that the row asks to release, after
 * their quarantine and once their last request has ended. Used by the control loop only.
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
                        (id, holding) -> {
                          if (tryRelease(id, holding, nowNanos)) {
                            released.put(id, holding.epoch());
                          }
                        }));
    return released;
  }

  private boolean tryRelease(ResourceId id, ResourceAssignment holding, long nowNanos) {
    return holding.releasing()
        && holding.owner().filter(state.id()::equals).isPresent()
        && view.isQuarantineOver(state.domain(), id, holding, nowNanos)
        && drainer.drain(id, holding.epoch());
  }
}
