package org.toucanrack.internal.coordination.control;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions that result from one event, in order. Confined to the control thread. */
final class ActionBuffer {

  private List<ControlAction> collected = new ArrayList<>();

  void add(ControlAction action) {
    collected.add(action);
  }

  List<ControlAction> getAndClear() {
    List<ControlAction> result = collected;
    collected = new ArrayList<>();
    return result;
  }
}
