package org.toucanrack.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * The mutable state of one backend server: occupied slots, cold start, injected faults, and the
 * health and load that its endpoints report. Confined to the event loop; all times are milliseconds
 * of the monotonic clock.
 */
final class BackendState {

  private record StatusSnapshot(long visibleAtMillis, String health, double load) {}

  private final BackendSettings settings;
  private final Random random;
  private final Deque<StatusSnapshot> pendingSnapshots = new ArrayDeque<>();
  private StatusSnapshot lastVisibleSnapshot = new StatusSnapshot(0, "up", 0);
  private ServiceTime serviceTime;
  private int slots;
  private int running;
  private boolean draining;
  private long drainStartMillis;
  private long lastStartAfterDrainMillis = -1;
  private boolean down;
  private String healthOverride = "";
  private double loadOverride = -1;
  private List<FaultRule> faults = List.of();
  private long faultsSetAtMillis;
  private long coldSinceMillis;
  private int requestsSinceCold;
  private long lastRequestMillis;

  BackendState(BackendSettings settings, long seed, long nowMillis) {
    this.settings = settings;
    this.random = new Random(seed);
    this.serviceTime = settings.serviceTime();
    this.slots = settings.slots();
    this.coldSinceMillis = nowMillis;
    this.lastRequestMillis = nowMillis;
  }

  void apply(Control control, long nowMillis) {
    if (Boolean.TRUE.equals(control.draining()) && !draining) {
      drainStartMillis = nowMillis;
      lastStartAfterDrainMillis = 0;
    }
    draining = control.draining() == null ? draining : control.draining();
    down = control.down() == null ? down : control.down();
    healthOverride = control.healthSays() == null ? healthOverride : control.healthSays();
    loadOverride = control.loadSays() == null ? loadOverride : control.loadSays();
    slots = control.slots() == null ? slots : control.slots();
    if (control.serviceTime() != null) {
      serviceTime = ServiceTime.parse(control.serviceTime());
    }
    if (Boolean.TRUE.equals(control.cold())) {
      makeCold(nowMillis);
    }
    if (control.faults() != null) {
      faults = List.copyOf(control.faults());
      faultsSetAtMillis = nowMillis;
    }
    captureSnapshot(nowMillis);
  }

  boolean draining() {
    return draining;
  }

  /**
   * Returns the time from the start of the drain to the start of the last request during the drain:
   * 0 if no request started, -1 if the server never drained.
   */
  long lastStartAfterDrainMillis() {
    return lastStartAfterDrainMillis;
  }

  boolean down() {
    return down;
  }

  int running() {
    return running;
  }

  /** Occupies a slot; returns false if none is free. */
  boolean tryAcquireSlot(long nowMillis) {
    if (running >= slots) {
      return false;
    }
    running++;
    if (draining) {
      lastStartAfterDrainMillis = nowMillis - drainStartMillis;
    }
    captureSnapshot(nowMillis);
    return true;
  }

  void releaseSlot(long nowMillis) {
    running--;
    captureSnapshot(nowMillis);
  }

  /** Samples the service time of a request that starts now, including the cold-start factor. */
  double sampleServiceMillis(long nowMillis) {
    long idleMillis = settings.coldStart().idleMillis();
    if (idleMillis > 0 && nowMillis - lastRequestMillis >= idleMillis) {
      makeCold(nowMillis);
    }
    lastRequestMillis = nowMillis;
    double serviceTimeFactor = isCold(nowMillis) ? settings.coldStart().serviceTimeFactor() : 1;
    requestsSinceCold++;
    return serviceTime.sampleMillis(random) * serviceTimeFactor;
  }

  /** Returns the first fault rule that matches the request, or null. */
  FaultRule faultFor(String path, String customer, long nowMillis) {
    for (FaultRule rule : faults) {
      long ageMillis = nowMillis - faultsSetAtMillis;
      if (rule.matches(path, customer, running, ageMillis, random.nextDouble())) {
        return rule;
      }
    }
    return null;
  }

  String health(long nowMillis) {
    return healthOverride.isEmpty() ? visibleSnapshot(nowMillis).health() : healthOverride;
  }

  String load(long nowMillis) {
    double load = loadOverride >= 0 ? loadOverride : visibleSnapshot(nowMillis).load();
    return String.format(Locale.ROOT, "%.3f", load);
  }

  private boolean isCold(long nowMillis) {
    BackendSettings.ColdStart coldStart = settings.coldStart();
    return nowMillis - coldSinceMillis < coldStart.warmUpMillis()
        || requestsSinceCold < coldStart.warmUpRequests();
  }

  void makeWarm(long nowMillis) {
    coldSinceMillis = nowMillis - settings.coldStart().warmUpMillis();
    requestsSinceCold = settings.coldStart().warmUpRequests();
  }

  private void makeCold(long nowMillis) {
    coldSinceMillis = nowMillis;
    requestsSinceCold = 0;
  }

  /** Enqueues the current health and load, which become visible after the state lag. */
  private void captureSnapshot(long nowMillis) {
    String health = down ? "down" : draining ? "draining" : "up";
    double load = slots == 0 ? 1 : Math.min(1.0, (double) running / slots);
    pendingSnapshots.add(new StatusSnapshot(nowMillis + settings.stateLagMillis(), health, load));
    visibleSnapshot(nowMillis);
  }

  private StatusSnapshot visibleSnapshot(long nowMillis) {
    while (!pendingSnapshots.isEmpty() && pendingSnapshots.peek().visibleAtMillis() <= nowMillis) {
      lastVisibleSnapshot = pendingSnapshots.poll();
    }
    return lastVisibleSnapshot;
  }
}
