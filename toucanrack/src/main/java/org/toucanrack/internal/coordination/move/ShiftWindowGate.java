package org.toucanrack.internal.coordination.move;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.ServiceId;

/**
 * Bounds shifted requests by count in a sliding window on this VM.
 *
 * <p>Invariant: in any window, shifts never exceed the cap's fraction of the arrivals of the same
 * window. Since each VM keeps this for its own arrivals, the sum over VMs keeps it without shared
 * state. Thread-safe.
 */
public final class ShiftWindowGate implements ShiftGate {

  private final Map<ServiceId, SlidingShiftWindow> windows = new ConcurrentHashMap<>();
  private volatile ShiftRule rule;

  /** Creates a gate. */
  public ShiftWindowGate(ShiftRule rule) {
    this.rule = rule;
  }

  /** Adopts a new cap for later requests. A changed window length starts with empty counts. */
  public void update(ShiftRule newRule) {
    if (!newRule.window().equals(rule.window())) {
      windows.clear();
    }
    rule = newRule;
  }

  @Override
  public void arrived(ServiceId service, long nowNanos) {
    window(service).arrived(nowNanos);
  }

  @Override
  public boolean tryShift(
      ServiceId service, FailureDomainId from, FailureDomainId to, long nowNanos) {
    return from.equals(to) || window(service).tryShift(rule.capFraction(), nowNanos);
  }

  private SlidingShiftWindow window(ServiceId service) {
    return windows.computeIfAbsent(service, id -> new SlidingShiftWindow(rule.window().toNanos()));
  }
}
