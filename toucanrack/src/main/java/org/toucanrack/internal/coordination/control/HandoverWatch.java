package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;

/**
 * Finds the resources of this VM that may be released: those that the row asks to release, after
 * their quarantine and once their last request has ended. Used by the control loop only.
 */
final class HandoverWatch {

  private final ControlState state;
  private final OwnershipView view;
  private final ResourceUse use;

  HandoverWatch(ControlState state, OwnershipView view, ResourceUse use) {
    this.state = state;
    this.view = view;
    this.use = use;
  }

  Map<ResourceId, Long> released(long nowNanos) {
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
                          if (isReleased(id, holding, nowNanos)) {
                            released.put(id, holding.epoch());
                          }
                        }));
    return released;
  }

  private boolean isReleased(ResourceId id, ResourceAssignment holding, long nowNanos) {
    return holding.releasing()
        && holding.owner().filter(state.id()::equals).isPresent()
        && view.isQuarantineOver(state.domain(), id, holding, nowNanos)
        && use.stop(id, holding.epoch());
  }
}
