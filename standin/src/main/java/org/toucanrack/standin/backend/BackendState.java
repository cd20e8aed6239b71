package org.toucanrack.standin.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * The state of one backend server: slots, warmth, faults, and what its endpoints say. Confined to
 * the event loop; times are in milliseconds of its clock.
 */
final class BackendState {

  private record Report(long millis, String health, double load) {}

  private final BackendSettings settings;
  private final Random random;
  private final Deque<Report> reports = new ArrayDeque<>();
  private Report visible = new Report(0, "up", 0);
  private ServiceTime serviceTime;
  private int slots;
  private int running;
  private boolean draining;
  private long drainStartMillis;
  private long lastStartAfterDrainMillis = -1;
  private boolean down;
  private String healthSays = "";
  private double loadSays = -1;
  private List<FaultRule> faults = List.of();
  private long faultsSetMillis;
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
    healthSays = control.healthSays() == null ? healthSays : control.healthSays();
    loadSays = control.loadSays() == null ? loadSays : control.loadSays();
    slots = control.slots() == null ? slots : control.slots();
    if (control.serviceTime() != null) {
      serviceTime = ServiceTime.parse(control.serviceTime());
    }
    if (Boolean.TRUE.equals(control.cold())) {
      makeCold(nowMillis);
    }
    if (control.faults() != null) {
      faults = List.copyOf(control.faults());
      faultsSetMillis = nowMillis;
    }
    report(nowMillis);
  }

  boolean draining() {
    return draining;
  }

  /** Returns the time from the start of the drain to the last start of a request, or -1. */
  long lastStartAfterDrainMillis() {
    return lastStartAfterDrainMillis;
  }

  boolean down() {
    return down;
  }

  int running() {
    return running;
  }

  /** Takes a slot; returns false if none is free. */
  boolean start(long nowMillis) {
    if (running >= slots) {
      return false;
    }
    running++;
    if (draining) {
      lastStartAfterDrainMillis = nowMillis - drainStartMillis;
    }
    report(nowMillis);
    return true;
  }

  void finish(long nowMillis) {
    running--;
    report(nowMillis);
  }

  /** Draws the service time of a request that starts now. */
  double drawServiceMillis(long nowMillis) {
    long pause = settings.coldStart().pauseMillis();
    if (pause > 0 && nowMillis - lastRequestMillis >= pause) {
      makeCold(nowMillis);
    }
    lastRequestMillis = nowMillis;
    double factor = isCold(nowMillis) ? settings.coldStart().factor() : 1;
    requestsSinceCold++;
    return serviceTime.draw(random) * factor;
  }

  /** Returns the first fault rule that concerns a request, or null. */
  FaultRule faultFor(String path, String customer, long nowMillis) {
    for (FaultRule rule : faults) {
      long age = nowMillis - faultsSetMillis;
      if (rule.concerns(path, customer, running, age, random.nextDouble())) {
        return rule;
      }
    }
    return null;
  }

  String health(long nowMillis) {
    return healthSays.isEmpty() ? visibleReport(nowMillis).health() : healthSays;
  }

  String load(long nowMillis) {
    double load = loadSays >= 0 ? loadSays : visibleReport(nowMillis).load();
    return String.format(Locale.ROOT, "%.3f", load);
  }

  private boolean isCold(long nowMillis) {
    BackendSettings.ColdStart cold = settings.coldStart();
    return nowMillis - coldSinceMillis < cold.warmMillis()
        || requestsSinceCold < cold.warmRequests();
  }

  void makeWarm(long nowMillis) {
    coldSinceMillis = nowMillis - settings.coldStart().warmMillis();
    requestsSinceCold = settings.coldStart().warmRequests();
  }

  private void makeCold(long nowMillis) {
    coldSinceMillis = nowMillis;
    requestsSinceCold = 0;
  }

  private void report(long nowMillis) {
    String health = down ? "down" : draining ? "draining" : "up";
    double load = slots == 0 ? 1 : Math.min(1.0, (double) running / slots);
    reports.add(new Report(nowMillis + settings.stateLagMillis(), health, load));
    visibleReport(nowMillis);
  }

  private Report visibleReport(long nowMillis) {
    while (!reports.isEmpty() && reports.peek().millis() <= nowMillis) {
      visible = reports.poll();
    }
    return visible;
  }
}
